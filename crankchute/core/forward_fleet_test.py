"""Tests of which backend servers get new requests."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import LEAVING, LIVE, ListedServer
from crankchute.core.forward_fleet import ForwardFleet

POOL = 'pool'


def make_listed(identity, state=LIVE, port=7001, born=None):
    return ListedServer(
        {
            'id': identity,
            'born': born,
            'kind': 'backend',
            'address': f'127.0.0.1:{port}',
            'data_centre': 'one',
            'labels': {'pool': POOL},
            'state': state,
        }
    )


class World:
    """A fleet with two servers."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, 'pool')
        self.fleet.replace(
            [make_listed('a'), make_listed('b')],
            may_have_expired=False,
        )

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}


@pytest.mark.parametrize(
    'leave',
    [
        lambda fleet: fleet.put(make_listed('a', LEAVING)),
        lambda fleet: fleet.record_drained('a'),
    ],
)
def test_draining_server_gets_no_new_requests(leave):
    world = World()
    leave(world.fleet)
    assert world.members() == {'b'}
    # An entry from before the drain has no effect.
    world.fleet.put(make_listed('a'))
    assert world.members() == {'b'}
    assert world.fleet.list_recently_drained() == ['a']
    # The drain is permanent, but is shared with others for a limited time.
    world.timers.advance(20_000)
    assert world.fleet.list_recently_drained() == []
    assert world.fleet.list_drained() == ['a']


@pytest.mark.parametrize('may_have_expired', [False, True])
@pytest.mark.parametrize(
    'leave',
    [
        lambda fleet, lapse: fleet.remove('a', may_have_expired=lapse),
        lambda fleet, lapse: fleet.replace(
            [make_listed('b')], may_have_expired=lapse
        ),
    ],
)
def test_server_returns_with_its_entry(leave, may_have_expired):
    """Entries expire while the store is unavailable; most servers still run."""
    world = World()
    leave(world.fleet, may_have_expired)
    world.timers.advance(2000)
    assert world.members() == {'b'}
    assert world.fleet.list_recently_removed() == ['a']
    world.fleet.put(make_listed('a'))
    assert world.members() == {'a', 'b'}
    assert world.fleet.list_recently_removed() == []


@pytest.mark.parametrize(
    ('age_ms', 'members'),
    [(0, {'a', 'b'}), (4000, {'b'})],
)
def test_reported_removal_counts_if_it_may_be_newer(age_ms, members):
    world = World()
    world.timers.advance(age_ms)
    world.fleet.record_removed('a')
    assert world.members() == members
    world.timers.advance(9000)
    assert world.members() == {'a', 'b'}


def test_server_replaced_at_its_address_is_avoided():
    """Also if its entry is fresh; other instances are told."""
    world = World()
    world.fleet.record_removed('a', is_seen=True)
    assert world.members() == {'b'}
    assert world.fleet.list_recently_removed() == ['a']
    world.timers.advance(7000)
    assert world.members() == {'b'}
    world.timers.advance(2000)
    assert world.members() == {'a', 'b'}
    world.fleet.record_removed('a', is_seen=True)
    assert world.members() == {'b'}
    world.fleet.put(make_listed('a', port=7009))
    assert world.members() == {'a', 'b'}


def test_lapsed_entry_is_kept_for_a_grace_period():
    world = World()
    world.fleet.remove('a', may_have_expired=True)
    assert world.members() == {'a', 'b'}
    world.timers.advance(3000)
    assert world.members() == {'b'}


def test_lapsed_entry_that_returns_stays():
    world = World()
    world.fleet.remove('a', may_have_expired=True)
    world.timers.advance(500)
    world.fleet.put(make_listed('a'))
    world.timers.advance(3000)
    assert world.members() == {'a', 'b'}


def test_draining_server_does_not_lapse():
    world = World()
    world.fleet.put(make_listed('a', LEAVING))
    world.fleet.remove('a', may_have_expired=True)
    assert world.fleet.get('a') is None


def test_entry_with_a_new_address_creates_a_new_backend():
    world = World()
    before = world.fleet.get('a')
    world.fleet.put(make_listed('a', port=7009))
    assert world.fleet.get('a') is not before


class RestartWorld:
    """A fleet with one server that publishes its start time."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, 'pool')
        self.fleet.put(make_listed('a', born=100))
        self.first = self.fleet.get('a@100')
        self.ended = []
        self.fleet.subscribe_restarted(self.ended.append)

    def members(self):
        return [one.identity for one in self.fleet.members_of(POOL)]


def drain(world):
    world.fleet.record_drained('a@100')


def receive_removal(world):
    world.timers.advance(5000)
    world.fleet.record_removed('a@100')


def fail(world):
    world.first.record_failed(0)


@pytest.mark.parametrize('before', [drain, receive_removal, fail])
def test_restarted_server_starts_with_fresh_state(before):
    """State of the earlier start must not apply, though the id is the same."""
    world = RestartWorld()
    before(world)
    world.fleet.put(make_listed('a', born=200))
    assert world.members() == ['a@200']
    assert world.ended == [world.first]
    again = world.fleet.get('a@200')
    assert again.failure_estimator.failure_probability(0) == 0
    assert again.listed.listed_id == 'a'


@pytest.mark.parametrize(
    'late',
    [
        lambda fleet: fleet.put(make_listed('a', born=100)),
        lambda fleet: fleet.put(make_listed('a', LEAVING, born=100)),
        lambda fleet: fleet.replace(
            [make_listed('a', LEAVING, born=100)], may_have_expired=False
        ),
        lambda fleet: fleet.record_drained('a@100'),
        lambda fleet: fleet.record_removed('a@100'),
    ],
)
def test_late_news_of_an_earlier_start_has_no_effect(late):
    world = RestartWorld()
    world.fleet.put(make_listed('a', born=200))
    late(world.fleet)
    assert world.members() == ['a@200']


def test_entry_that_lost_its_start_time_removes_the_server():
    world = RestartWorld()
    world.fleet.put(make_listed('a'))
    assert world.members() == []
    world.fleet.put(make_listed('a', born=100))
    assert world.members() == ['a@100']


def test_removal_applies_to_the_latest_start():
    world = RestartWorld()
    world.fleet.remove('a', may_have_expired=True)
    world.fleet.put(make_listed('a', born=200))
    world.timers.advance(2000)
    assert world.members() == ['a@200']
    world.fleet.remove('a', may_have_expired=False)
    assert world.members() == []
    # A late entry of the earlier start is still ignored.
    world.fleet.put(make_listed('a', born=100))
    assert world.members() == []


@pytest.mark.parametrize(
    ('born', 'identity', 'members'),
    [
        (None, 'a@100', ['a@100']),
        (100, 'a@100', ['a@100']),
        (200, 'a@200', ['a@200']),
        (50, None, ['a@100']),
    ],
)
def test_report_may_show_a_restart_before_the_entry(born, identity, members):
    world = RestartWorld()
    found = world.fleet.resolve_reporter(world.first, born)
    assert (found and found.identity) == identity
    assert world.members() == members


def test_reported_restart_of_a_leaving_server_is_ignored():
    """Only the entry says whether the new start accepts requests."""
    world = RestartWorld()
    world.fleet.put(make_listed('a', LEAVING, born=100))
    assert world.fleet.resolve_reporter(world.first, 200) is None
    assert world.members() == []
    world.fleet.put(make_listed('a', born=200))
    assert world.members() == ['a@200']
