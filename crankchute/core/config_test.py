"""Tests of the configuration: all findings, whole revisions, no way back."""

from pathlib import Path
from types import MappingProxyType

import orjson
import pytest

from crankchute.commands.check import read_folder
from crankchute.core.config_check import load_config
from crankchute.core.config_holder import ConfigHolder
from crankchute.core.replica import ChangeSet, Entry
from crankchute.errors import ConfigError

_EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
_GOOD = MappingProxyType(
    {
        'models': [{'name': 'small', 'version': 'v1'}],
        'pools': [
            {
                'name': 'text',
                'kind': 'model',
                'selector': {'tier': 'text'},
                'models': ['small'],
            },
        ],
        'classes': [{'name': 'fares', 'pools': {}, 'accounts': {}}],
        'accounts': [{'name': 'north'}],
    }
)


def _documents(**changes):
    return {
        key: orjson.dumps(document)
        for key, document in {**_GOOD, **changes}.items()
    }


def _changes(since, revision, **changes):
    entries = {
        key: Entry(revision, payload)
        for key, payload in _documents(**changes).items()
    }
    return ChangeSet(since, revision, entries)


@pytest.mark.parametrize('name', ['ticketing', 'yards'])
def test_examples_are_valid(name):
    """The worked examples pass the check."""
    config = load_config(1, read_folder(str(_EXAMPLES / name)))
    assert len(config.accounts) == 10


@pytest.mark.parametrize(
    ('changes', 'places'),
    [
        ({'models': [{'name': 'Bad Name'}]}, {'models[0]', 'models[0].name'}),
        (
            {'pools': [{'name': 'p', 'kind': 'x', 'selector': {}}]},
            {'pools[0].kind'},
        ),
        ({'surprise': {}}, {'surprise'}),
        ({'accounts': [{'name': 'a'}, {'name': 'a'}]}, {'accounts.a'}),
        (
            {
                'pools': [
                    {
                        'name': 'p',
                        'kind': 'model',
                        'selector': {},
                        'models': ['none', 'nil'],
                    },
                ]
            },
            {'pools.p.models'},
        ),
        (
            {
                'classes': [
                    {'name': 'c', 'pools': {'a': 'b'}, 'accounts': {'c': 'd'}}
                ]
            },
            {'classes.c.pools', 'classes.c.accounts'},
        ),
        ({'policy': {'routing': 'magic'}}, {'policy.routing'}),
        ({'policy': {'no': 1}, 'models': 5}, {'policy', 'models'}),
    ],
)
def test_findings_name_every_place(changes, places):
    """All findings are reported together, each with its place."""
    with pytest.raises(ConfigError) as caught:
        load_config(1, _documents(**changes))
    assert {finding.place for finding in caught.value.findings} == places


def test_broken_json_is_a_finding():
    """A document that is not JSON is named."""
    with pytest.raises(ConfigError, match='models: is not JSON'):
        load_config(1, {**_documents(), 'models': b'{'})


def test_revision_never_falls():
    """A stale replica's older revision is not taken."""
    holder = ConfigHolder()
    assert holder.offer(_changes(0, 5))
    assert not holder.offer(_changes(0, 4))
    assert not holder.offer(_changes(0, 5))
    assert holder.revision == 5


def test_changes_with_a_gap_are_not_taken():
    """A change set that starts after the revision held leaves a gap."""
    holder = ConfigHolder()
    holder.offer(_changes(0, 5))
    assert not holder.offer(_changes(7, 8))
    assert holder.revision == 5


def test_invalid_revision_is_refused_whole():
    """A refused revision changes nothing, and the next good one is taken."""
    holder = ConfigHolder()
    holder.offer(_changes(0, 1))
    bad = ChangeSet(
        1,
        2,
        {
            'accounts': Entry(2, b'[{"name": "new"}]'),
            'models': Entry(2, b'[]'),
        },
    )
    assert holder.offer(bad)
    assert holder.revision == 1
    assert holder.refused_revision == 2
    assert 'new' not in holder.config.accounts
    assert holder.offer(
        ChangeSet(
            2,
            3,
            {
                'models': Entry(3, _documents()['models']),
            },
        )
    )
    assert holder.revision == 3
    assert 'new' in holder.config.accounts


def test_restarted_instance_gets_accepted_revision_after_refused_one():
    """Who saw only a refused revision still gets the one in force."""
    peer = ConfigHolder()
    peer.offer(_changes(0, 1))
    peer.offer(ChangeSet(1, 2, {'models': Entry(2, b'[]')}))
    restarted = ConfigHolder()
    restarted.offer(_changes(0, 2, models=[]))
    assert restarted.revision == 0
    restarted.offer(
        peer.changes_for(restarted.revision, restarted.seen_revision)
    )
    assert restarted.revision == 1
    assert restarted.seen_revision == 2


def test_deleted_key_stays_deleted():
    """A deletion is passed on to instances that lack it."""
    holder = ConfigHolder()
    extra = {'accounts/extra': [{'name': 'extra'}]}
    holder.offer(_changes(0, 1, **extra))
    holder.offer(ChangeSet(1, 2, {'accounts/extra': Entry(2, None)}))
    late = ConfigHolder()
    late.offer(holder.changes_for(0, 0))
    assert set(late.config.accounts) == {'north'}
