"""Tests of the backend servers that may get new requests."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import LEAVING, LIVE, Listed
from crankchute.core.forward_fleet import ForwardFleet

POOL = 'pool'


def make_listed(identity, state=LIVE, port=7001, born=None):
    return Listed(
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
            may_lapse=False,
        )

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}


@pytest.mark.parametrize(
    'leave',
    [
        lambda fleet: fleet.put(make_listed('a', LEAVING)),
        lambda fleet: fleet.note_drained('a'),
    ],
)
def test_server_that_drains_gets_nothing_more(leave):
    world = World()
    leave(world.fleet)
    assert world.members() == {'b'}
    # An older entry that comes late changes nothing.
    world.fleet.put(make_listed('a'))
    assert world.members() == {'b'}
    assert world.fleet.drained() == ['a']
    # The others are told for a while only; that it drains is for good.
    world.timers.advance(20_000)
    assert world.fleet.drained() == []
    assert world.fleet.list_drained() == ['a']


@pytest.mark.parametrize('may_lapse', [False, True])
@pytest.mark.parametrize(
    'leave',
    [
        lambda fleet, lapse: fleet.remove('a', may_lapse=lapse),
        lambda fleet, lapse: fleet.replace([make_listed('b')], may_lapse=lapse),
    ],
)
def test_server_whose_entry_went_is_back_with_it(leave, may_lapse):
    """Entries lapse while the store is away; the servers mostly live."""
    world = World()
    leave(world.fleet, may_lapse)
    world.timers.advance(2000)
    assert world.members() == {'b'}
    assert world.fleet.gone() == ['a']
    world.fleet.put(make_listed('a'))
    assert world.members() == {'a', 'b'}
    assert world.fleet.gone() == []


@pytest.mark.parametrize(
    ('age_ms', 'members'),
    [(0, {'a', 'b'}), (4000, {'b'})],
)
def test_what_another_saw_go_counts_if_it_may_be_newer(age_ms, members):
    world = World()
    world.timers.advance(age_ms)
    world.fleet.note_gone('a')
    assert world.members() == members
    world.timers.advance(9000)
    assert world.members() == {'a', 'b'}


def test_server_that_moved_is_out_until_its_entry_changes():
    """Its entry may be as fresh as can be; others hear of it too."""
    world = World()
    world.fleet.note_gone('a', is_seen=True)
    assert world.members() == {'b'}
    assert world.fleet.gone() == ['a']
    world.timers.advance(7000)
    assert world.members() == {'b'}
    world.timers.advance(2000)
    assert world.members() == {'a', 'b'}
    world.fleet.note_gone('a', is_seen=True)
    assert world.members() == {'b'}
    world.fleet.put(make_listed('a', port=7009))
    assert world.members() == {'a', 'b'}


def test_lapsed_entry_is_kept_for_a_while():
    world = World()
    world.fleet.remove('a', may_lapse=True)
    assert world.members() == {'a', 'b'}
    world.timers.advance(3000)
    assert world.members() == {'b'}


def test_lapsed_entry_that_returns_stays():
    world = World()
    world.fleet.remove('a', may_lapse=True)
    world.timers.advance(500)
    world.fleet.put(make_listed('a'))
    world.timers.advance(3000)
    assert world.members() == {'a', 'b'}


def test_draining_server_does_not_lapse():
    world = World()
    world.fleet.put(make_listed('a', LEAVING))
    world.fleet.remove('a', may_lapse=True)
    assert world.fleet.get('a') is None


def test_new_address_is_a_new_server():
    world = World()
    before = world.fleet.get('a')
    world.fleet.put(make_listed('a', port=7009))
    assert world.fleet.get('a') is not before


class Restarts:
    """A fleet with one server that tells when it started."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, 'pool')
        self.fleet.put(make_listed('a', born=100))
        self.first = self.fleet.get('a@100')
        self.over = []
        self.fleet.subscribe_restarted(self.over.append)

    def members(self):
        return [one.identity for one in self.fleet.members_of(POOL)]


def drain(world):
    world.fleet.note_drained('a@100')


def hear_gone(world):
    world.timers.advance(5000)
    world.fleet.note_gone('a@100')


def fail(world):
    world.first.note_failed(0)


@pytest.mark.parametrize('before', [drain, hear_gone, fail])
def test_server_that_started_again_is_another_one(before):
    """Nothing that was known of it holds, though its id is the same."""
    world = Restarts()
    before(world)
    world.fleet.put(make_listed('a', born=200))
    assert world.members() == ['a@200']
    assert world.over == [world.first]
    again = world.fleet.get('a@200')
    assert again.suspicion.chance(0) == 0
    assert again.listed.listed_id == 'a'


@pytest.mark.parametrize(
    'late',
    [
        lambda fleet: fleet.put(make_listed('a', born=100)),
        lambda fleet: fleet.put(make_listed('a', LEAVING, born=100)),
        lambda fleet: fleet.replace(
            [make_listed('a', LEAVING, born=100)], may_lapse=False
        ),
        lambda fleet: fleet.note_drained('a@100'),
        lambda fleet: fleet.note_gone('a@100'),
    ],
)
def test_word_of_an_earlier_start_changes_nothing(late):
    world = Restarts()
    world.fleet.put(make_listed('a', born=200))
    late(world.fleet)
    assert world.members() == ['a@200']


def test_entry_without_a_start_is_not_of_a_server_that_tells_it():
    world = Restarts()
    world.fleet.put(make_listed('a'))
    assert world.members() == []
    world.fleet.put(make_listed('a', born=100))
    assert world.members() == ['a@100']


def test_end_of_an_entry_ends_the_newest_start():
    world = Restarts()
    world.fleet.remove('a', may_lapse=True)
    world.fleet.put(make_listed('a', born=200))
    world.timers.advance(2000)
    assert world.members() == ['a@200']
    world.fleet.remove('a', may_lapse=False)
    assert world.members() == []
    # What is late is still of the earlier start.
    world.fleet.put(make_listed('a', born=100))
    assert world.members() == []


@pytest.mark.parametrize(
    ('born', 'told_of', 'members'),
    [
        (None, 'a@100', ['a@100']),
        (100, 'a@100', ['a@100']),
        (200, 'a@200', ['a@200']),
        (50, None, ['a@100']),
    ],
)
def test_server_may_say_first_that_it_started_again(born, told_of, members):
    world = Restarts()
    found = world.fleet.find_reporting(world.first, born)
    assert (found and found.identity) == told_of
    assert world.members() == members


def test_server_that_left_and_reports_another_start_takes_nothing():
    """Only its entry says whether the new start takes requests."""
    world = Restarts()
    world.fleet.put(make_listed('a', LEAVING, born=100))
    assert world.fleet.find_reporting(world.first, 200) is None
    assert world.members() == []
    world.fleet.put(make_listed('a', born=200))
    assert world.members() == ['a@200']
