"""Tests of the records of evacuated data centres."""

from itertools import permutations

import pytest

from crankchute.core.evacuations import (
    MAX_DATA_CENTRES,
    MAX_NAME_LENGTH,
    Evacuation,
    Evacuations,
)


def request(data_centre, position):
    return Evacuation(data_centre, position, is_evacuated=True)


def withdraw(data_centre, position):
    return Evacuation(data_centre, position, is_evacuated=False)


def make_evacuations(*records, is_known=True):
    evacuations = Evacuations(is_enabled=True)
    evacuations.merge(records, 0)
    if is_known:
        evacuations.record_known()
    return evacuations


def list_records(evacuations):
    return sorted(
        (one.data_centre, one.position, one.is_evacuated)
        for one in evacuations.records
    )


@pytest.mark.parametrize(
    'records',
    [
        (request('a', 1), withdraw('a', 2), request('a', 3)),
        (request('a', 5), withdraw('a', 5), request('b', 5)),
        (request('a', 4), withdraw('a', 7), request('b', 1), withdraw('b', 0)),
        (withdraw('a', 1), withdraw('a', 3), request('a', 2)),
    ],
)
def test_merging_does_not_depend_on_the_order(records):
    """Instances hear of changes in any order, and must agree at the end."""
    merged = [
        list_records(make_evacuations(*order, *order[:1]))
        for order in permutations(records)
    ]
    assert all(one == merged[0] for one in merged)


@pytest.mark.parametrize(
    ('records', 'evacuated'),
    [
        ((request('a', 1),), {'a'}),
        ((request('a', 1), withdraw('a', 2)), set()),
        ((withdraw('a', 2), request('a', 1)), set()),
        ((request('a', 1), withdraw('a', 2), request('a', 3)), {'a'}),
        ((request('a', 1), request('b', 2), withdraw('a', 3)), {'b'}),
    ],
)
def test_later_position_takes_precedence(records, evacuated):
    """A late record of another instance must not undo a newer change."""
    assert make_evacuations(*records).evacuated == evacuated


@pytest.mark.parametrize(
    ('known', 'listed', 'position', 'evacuated'),
    [
        # The key was deleted while nobody watched.
        ((request('a', 5),), (), 9, set()),
        ((request('a', 5),), (request('b', 8),), 9, {'b'}),
        ((request('a', 5),), (request('a', 5),), 9, {'a'}),
        # A read that is older than what another instance told.
        ((request('a', 12),), (), 9, {'a'}),
        ((withdraw('a', 12),), (request('a', 5),), 9, set()),
        # The store was restored: its positions belong to a later era.
        ((request('a', 99),), (), 1000, set()),
        ((withdraw('a', 99),), (request('a', 1003),), 1005, {'a'}),
    ],
)
def test_complete_read_replaces_older_records(
    known, listed, position, evacuated
):
    """Otherwise a withdrawal during a compaction would never be noticed."""
    evacuations = make_evacuations(*known)
    evacuations.replace_all(listed, position, 10)
    assert evacuations.evacuated == evacuated


def test_withdrawal_by_a_read_outlasts_records_of_other_instances():
    """An instance that was cut off still believes in the evacuation."""
    evacuations = make_evacuations(request('a', 5))
    evacuations.replace_all((), 9, 10)
    evacuations.merge((request('a', 5),), 20)
    assert not evacuations.evacuated
    evacuations.merge((request('a', 10),), 20)
    assert evacuations.evacuated == {'a'}


@pytest.mark.parametrize(
    ('is_enabled', 'is_known', 'excluded'),
    [
        (True, True, {'a'}),
        (True, False, {'a', 'b'}),
        (False, False, set()),
    ],
)
def test_unknown_evacuations_exclude_all_servers(
    is_enabled, is_known, excluded
):
    """An instance that has not read them must not take unknown for none."""
    evacuations = Evacuations(is_enabled=is_enabled)
    if is_enabled:
        evacuations.merge((request('a', 1),), 0)
    if is_known:
        evacuations.record_known()
    assert {one for one in 'ab' if evacuations.excludes(one)} == excluded


@pytest.mark.parametrize('name', ['', 'x' * (MAX_NAME_LENGTH + 1)])
def test_malformed_names_are_rejected(name):
    """They would grow the messages between instances."""
    evacuations = make_evacuations()
    update = evacuations.merge((request(name, 1), request('a', 2)), 0)
    assert [record.data_centre for record, _ in update.rejected] == [name]
    assert evacuations.evacuated == {'a'}


def test_number_of_data_centres_is_limited():
    """Withdrawn records make room; evacuations in force are never dropped."""
    records = [request(f'z{one}', one) for one in range(MAX_DATA_CENTRES)]
    evacuations = make_evacuations(*records)
    update = evacuations.merge((request('more', 100),), 0)
    assert [record.data_centre for record, _ in update.rejected] == ['more']
    evacuations.merge((withdraw('z3', 101), withdraw('z5', 102)), 0)
    update = evacuations.merge((request('more', 100),), 0)
    assert not update.rejected
    assert 'more' in evacuations.evacuated
    assert len(evacuations.records) == MAX_DATA_CENTRES
    names = {record.data_centre for record in evacuations.records}
    assert 'z3' not in names
    assert 'z5' in names


def test_complete_read_makes_room_before_it_adds():
    records = [request(f'z{one}', one) for one in range(MAX_DATA_CENTRES)]
    evacuations = make_evacuations(*records)
    later = [request(f'y{one}', 100 + one) for one in range(MAX_DATA_CENTRES)]
    update = evacuations.replace_all(later, 300, 0)
    assert not update.rejected
    assert evacuations.evacuated == {one.data_centre for one in later}


@pytest.mark.parametrize(
    ('known', 'received', 'expected'),
    [
        ((request('a', 1),), (withdraw('a', 2),), 50),
        ((request('a', 1),), (request('a', 2),), None),
        ((request('a', 1), withdraw('a', 2)), (request('a', 3),), None),
        # The request was missed.
        ((), (withdraw('a', 2),), 50),
        ((withdraw('a', 1),), (withdraw('a', 3),), 50),
        ((withdraw('a', 3),), (withdraw('a', 3),), None),
    ],
)
def test_time_of_withdrawal(known, received, expected):
    """Servers may be cold from then on."""
    evacuations = Evacuations(is_enabled=True)
    evacuations.merge(known, 0)
    evacuations.record_known()
    evacuations.merge(received, 50)
    assert evacuations.withdrawn_ms('a') == expected


def test_withdrawal_before_the_start_of_a_process_has_no_time():
    """It may be any time ago."""
    evacuations = make_evacuations(withdraw('a', 3), is_known=False)
    assert evacuations.withdrawn_ms('a') is None


@pytest.mark.parametrize(
    ('received', 'replaced', 'changed'),
    [
        ((request('a', 1),), False, []),
        ((request('a', 4),), True, []),
        ((withdraw('a', 4),), True, ['a']),
        ((request('b', 4),), True, ['b']),
        ((withdraw('b', 4),), True, []),
        ((withdraw('a', 4), request('a', 5)), True, ['a', 'a']),
    ],
)
def test_update_names_the_changes(received, replaced, changed):
    """Log lines and messages depend on it."""
    update = make_evacuations(request('a', 1)).merge(received, 0)
    assert update.replaced == replaced
    assert [one.data_centre for one in update.changed] == changed
