"""Tests of the server list that instances pass on."""

from random import Random

import pytest

from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList

PAYLOAD = b'{}'
#: Twice as many as a rumour needs to reach 780 instances.
_MAX_ROUNDS = 20


def make_list(**revisions):
    servers = ServerList()
    entries = {key: Entry(one, PAYLOAD) for key, one in revisions.items()}
    servers.replace_all(ChangeSet(0, max(revisions.values()), entries))
    return servers


def test_empty_list_has_the_revision_at_which_it_was_read():
    servers = ServerList()
    servers.replace_all(ChangeSet(0, 7, {}))
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


def read_all(servers, revision, *names):
    """Read the whole list from the store, which shows no deletions."""
    entries = {name: Entry(1, PAYLOAD) for name in names}
    servers.replace_all(ChangeSet(0, revision, entries))


def list_live(servers):
    return set(servers.live_entries())


@pytest.mark.parametrize('source', ['store', 'instance', 'restarted instance'])
def test_list_without_deletions_is_passed_on_as_changes(source):
    """An instance that got changes from it kept a server that had left."""
    passing, receiving = make_list(a=1, b=1), make_list(a=1, b=1)
    read_all(receiving, 7, 'a', 'b')
    if source == 'store':
        read_all(passing, 9, 'a')
    else:
        teller = ServerList()
        if source == 'instance':
            read_all(teller, 8, 'a', 'b')
        read_all(teller, 9, 'a')
        # The list of the teller ends before its first revision.
        passing.replace_all(teller.changes_since(0))
    changes = passing.changes_since(receiving.revision)
    if changes.since:
        receiving.apply_changes(changes)
    else:
        receiving.replace_all(changes)
    assert list_live(receiving) == {'a'}
    assert receiving.revision == 9


@pytest.mark.parametrize(
    ('changes', 'spans'),
    [
        # The watch of the store.
        ([ChangeSet(0, 4, {}), ChangeSet(4, 6, {})], ((4, 6),)),
        # The store read again, after a loss of history.
        ([ChangeSet(0, 4, {}), ChangeSet(0, 6, {})], ((4, 4), (6, 6))),
        # A whole list of another instance.
        ([ChangeSet(0, 6, {}, 3)], ((3, 6),)),
        ([ChangeSet(0, 4, {}), ChangeSet(0, 6, {}, 5)], ((4, 4), (5, 6))),
        ([ChangeSet(0, 4, {}), ChangeSet(0, 6, {}, 3)], ((3, 6),)),
        ([ChangeSet(0, 4, {}, 2), ChangeSet(0, 6, {}, 3)], ((2, 6),)),
        # Changes from an instance whose list was replaced in between.
        ([ChangeSet(0, 4, {}, 2), ChangeSet(4, 7, {}, 6)], ((2, 4), (6, 7))),
        # A list that continues several spans.
        (
            [ChangeSet(0, 2, {}), ChangeSet(0, 4, {}), ChangeSet(0, 6, {}, 1)],
            ((1, 6),),
        ),
    ],
)
def test_coverage_has_gaps_where_lists_were_replaced(changes, spans):
    servers = ServerList()
    for one in changes:
        apply = servers.apply_changes if one.since else servers.replace_all
        apply(one)
    assert servers.coverage.spans == spans
    for known in range(1, servers.revision):
        is_covered = any(first <= known <= last for first, last in spans)
        assert bool(servers.changes_since(known).since) == is_covered


@pytest.mark.parametrize(
    ('changes', 'is_accepted'),
    [
        (ChangeSet(5, 9, {}), True),
        (ChangeSet(5, 9, {}, 8), True),
        (ChangeSet(4, 9, {}), True),
        (ChangeSet(4, 9, {}, 5), True),
        (ChangeSet(0, 9, {}), True),
        # They may lack deletions of entries that were added at 5.
        (ChangeSet(4, 9, {}, 6), False),
        (ChangeSet(6, 9, {}), False),
        (ChangeSet(4, 5, {}), False),
        (ChangeSet(0, 5, {}), False),
    ],
)
def test_changes_that_leave_a_gap_are_accepted(changes, is_accepted):
    assert make_list(a=3, b=5).accepts(changes) == is_accepted


def test_number_of_spans_is_bounded():
    servers = ServerList()
    for revision in range(1, 100):
        servers.replace_all(ChangeSet(0, revision, {}))
    assert len(servers.coverage.spans) == 16


@pytest.mark.parametrize(
    ('changes', 'expected'),
    [
        # Lists ignore what is older than their entry, whoever tells it.
        (ChangeSet(5, 8, {'a': Entry(6, PAYLOAD)}), 9),
        (ChangeSet(0, 8, {'a': Entry(6, PAYLOAD)}), 9),
        (ChangeSet(0, 8, {}), 9),
        (ChangeSet(5, 10, {'a': Entry(10, PAYLOAD)}), 10),
    ],
)
def test_entry_of_a_newer_page_is_replaced_by_an_older_one(changes, expected):
    servers = ServerList()
    servers.replace_all(ChangeSet(0, 7, {'a': Entry(9, PAYLOAD)}))
    apply = servers.apply_changes if changes.since else servers.replace_all
    apply(changes)
    assert servers.live_entries()['a'].revision == expected


def test_deleted_entry_comes_back_with_an_older_revision():
    servers = make_list(a=3, b=5)
    servers.apply_changes(ChangeSet(5, 6, {'a': Entry(6, None)}))
    servers.apply_changes(ChangeSet(4, 8, {'a': Entry(3, PAYLOAD)}))
    assert list_live(servers) == {'b'}
    servers.replace_all(ChangeSet(0, 9, {'a': Entry(3, PAYLOAD)}))
    assert not list_live(servers)


@pytest.mark.parametrize('size', [3, 24, 76, 780])
@pytest.mark.parametrize('seed', range(3))
def test_lists_differ_after_losses_of_history(size, seed):
    """Three readers lose their watch; the others ask a random instance."""
    draw = Random(seed)
    lists = [ServerList() for _ in range(size)]
    live = {f's{number}': Entry(number, PAYLOAD) for number in range(1, 30)}
    revision = 30
    for _ in range(4):
        for _ in range(3):
            live.pop(draw.choice(sorted(live)))
            revision += 1
            name = f's{revision}'
            live[name] = Entry(revision, PAYLOAD)
            reader = draw.choice(lists[:3])
            reader.replace_all(ChangeSet(0, revision, dict(live)))
            exchange(draw, lists, rounds=1)
        if draw.random() < 1 / 2:
            lists[draw.randrange(size)] = ServerList()
    lists[0].replace_all(ChangeSet(0, revision, dict(live)))
    exchange(draw, lists, rounds=_MAX_ROUNDS)
    assert all(list_live(one) == live.keys() for one in lists)


def exchange(draw, lists, rounds):
    """Let each instance ask a random one of the whole fleet."""
    for _ in range(rounds):
        for receiving in lists:
            telling = draw.choice(lists)
            changes = telling.changes_since(receiving.revision)
            if changes is None:
                continue
            if changes.since:
                receiving.apply_changes(changes)
            else:
                receiving.replace_all(changes)


def test_older_changes_are_ignored():
    servers = make_list(a=3, b=5)
    assert not servers.accepts(ChangeSet(3, 4, {'a': Entry(4, None)}))
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
