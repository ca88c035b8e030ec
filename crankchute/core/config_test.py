"""Tests of configuration validation and of the revision in force."""

from pathlib import Path
from types import MappingProxyType

import orjson
import pytest

from crankchute.commands.check import read_folder
from crankchute.core.config_holder import ConfigHolder
from crankchute.core.config_loader import load_config
from crankchute.core.replica import ChangeSet, Entry
from crankchute.errors import ConfigError

_EXAMPLES = Path(__file__).resolve().parents[2] / 'examples'
_VALID = MappingProxyType(
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


def _make_documents(**changes):
    return {
        key: orjson.dumps(document)
        for key, document in {**_VALID, **changes}.items()
    }


def _make_changes(since, revision, **changes):
    entries = {
        key: Entry(revision, payload)
        for key, payload in _make_documents(**changes).items()
    }
    return ChangeSet(since, revision, entries)


@pytest.mark.parametrize('name', ['ticketing', 'yards'])
def test_examples_are_valid(name):
    """The example configurations pass validation."""
    config = load_config(1, read_folder(str(_EXAMPLES / name)))
    assert len(config.accounts) == 10


@pytest.mark.parametrize(
    ('changes', 'locations'),
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
def test_findings_report_every_location(changes, locations):
    """All findings are reported together, each with its location."""
    with pytest.raises(ConfigError) as caught:
        load_config(1, _make_documents(**changes))
    assert {finding.location for finding in caught.value.findings} == locations


def test_invalid_json_is_reported():
    """A document that is not JSON is reported under its key."""
    with pytest.raises(ConfigError, match='models: is not JSON'):
        load_config(1, {**_make_documents(), 'models': b'{'})


def test_revision_never_decreases():
    """Older and repeated revisions are ignored."""
    holder = ConfigHolder()
    assert holder.offer(_make_changes(0, 5))
    assert not holder.offer(_make_changes(0, 4))
    assert not holder.offer(_make_changes(0, 5))
    assert holder.revision == 5


def test_changes_after_a_gap_are_ignored():
    """A change set that starts after the current revision is ignored."""
    holder = ConfigHolder()
    holder.offer(_make_changes(0, 5))
    assert not holder.offer(_make_changes(7, 8))
    assert holder.revision == 5


def test_invalid_revision_is_refused_as_a_whole():
    """A refused revision has no effect until a later one is valid."""
    holder = ConfigHolder()
    holder.offer(_make_changes(0, 1))
    invalid = ChangeSet(
        1,
        2,
        {
            'accounts': Entry(2, b'[{"name": "new"}]'),
            'models': Entry(2, b'[]'),
        },
    )
    assert holder.offer(invalid)
    assert holder.revision == 1
    assert holder.refused_revision == 2
    assert 'new' not in holder.config.accounts
    assert holder.offer(
        ChangeSet(
            2,
            3,
            {
                'models': Entry(3, _make_documents()['models']),
            },
        )
    )
    assert holder.revision == 3
    assert 'new' in holder.config.accounts


def test_restarted_instance_gets_accepted_revision_after_refused_one():
    """An instance that saw only a refused revision gets the accepted one."""
    peer = ConfigHolder()
    peer.offer(_make_changes(0, 1))
    peer.offer(ChangeSet(1, 2, {'models': Entry(2, b'[]')}))
    restarted = ConfigHolder()
    restarted.offer(_make_changes(0, 2, models=[]))
    assert restarted.revision == 0
    restarted.offer(
        peer.list_missing_changes(restarted.revision, restarted.seen_revision)
    )
    assert restarted.revision == 1
    assert restarted.seen_revision == 2


def test_deleted_key_stays_deleted():
    """A deleted key does not reach instances that join later."""
    holder = ConfigHolder()
    extra = {'accounts/extra': [{'name': 'extra'}]}
    holder.offer(_make_changes(0, 1, **extra))
    holder.offer(ChangeSet(1, 2, {'accounts/extra': Entry(2, None)}))
    newcomer = ConfigHolder()
    newcomer.offer(holder.list_missing_changes(0, 0))
    assert set(newcomer.config.accounts) == {'north'}
