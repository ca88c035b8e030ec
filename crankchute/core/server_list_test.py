"""Tests of the server list that instances pass on."""

import pytest

from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList

PAYLOAD = b'{}'


def make_list(**revisions):
    servers = ServerList()
    entries = {key: Entry(one, PAYLOAD) for key, one in revisions.items()}
    servers.replace_all(entries, max(revisions.values()))
    return servers


def test_empty_list_has_the_revision_at_which_it_was_read():
    servers = ServerList()
    servers.replace_all({}, 7)
    assert servers.revision == 7
    assert servers.changes_since(0).entries == {}


@pytest.mark.parametrize(
    ('since', 'is_whole', 'keys'),
    [
        # Deletions before the first list are unknown.
        (0, True, {'a', 'b', 'c'}),
        (4, True, {'a', 'b', 'c'}),
        (5, False, {'a', 'c'}),
        (6, False, {'c'}),
    ],
)
def test_only_missing_changes_are_passed_on(since, is_whole, keys):
    servers = make_list(a=3, b=5)
    servers.apply_changes(ChangeSet(5, 6, {'a': Entry(6, None)}))
    servers.apply_changes(ChangeSet(6, 8, {'c': Entry(8, PAYLOAD)}))
    changes = servers.changes_since(since)
    assert (changes.since == 0) == is_whole
    assert set(changes.entries) == keys
    assert changes.revision == 8


def test_current_list_lacks_no_changes():
    servers = make_list(a=3)
    assert servers.changes_since(3) is None
    assert servers.changes_since(4) is None


def test_older_changes_are_ignored():
    servers = make_list(a=3, b=5)
    servers.apply_changes(ChangeSet(0, 4, {'a': Entry(4, None)}))
    assert servers.revision == 5
    assert servers.changes_since(0).entries['a'].payload is not None


def test_number_of_deleted_entries_is_bounded():
    servers = make_list(a=1)
    for revision in range(2, 602):
        deleted = {f'gone-{revision}': Entry(revision, None)}
        servers.apply_changes(ChangeSet(revision - 1, revision, deleted))
    changes = servers.changes_since(5)
    assert changes.since == 0
    assert len(changes.entries) == 1 + 512
    assert servers.changes_since(590).since == 590


@pytest.mark.parametrize(
    ('revision', 'age_ms'),
    [(5, 40), (4, None), (6, None)],
)
def test_proof_counts_only_for_the_current_revision(revision, age_ms):
    servers = make_list(a=5)
    servers.confirm(revision, 60)
    assert servers.proof_age_ms(100) == age_ms


def test_older_proof_does_not_replace_a_newer_one():
    servers = make_list(a=5)
    servers.confirm(5, 60)
    servers.confirm(5, 20)
    assert servers.proof_age_ms(100) == 40
