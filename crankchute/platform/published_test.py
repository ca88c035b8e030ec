"""Tests of entries of servers that come from the store and from others."""

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList
from crankchute.platform.documents import POOL_LABEL
from crankchute.platform.published import PublishedServers
from crankchute.platform.store import StoreEntry
from crankchute.platform.wire import SERVERS_PREFIX

POOL = 'pool-a'


def write_server(state='ready'):
    document = {
        'service': POOL,
        'address': '127.0.0.1:7001',
        'zone': 'one',
        'state': state,
    }
    return orjson.dumps(document)


def make_entry(identity, revision, payload):
    return StoreEntry(f'{SERVERS_PREFIX}{identity}', payload, revision)


class Watch:
    """A watch that failed at a moment, or never."""

    def __init__(self):
        self.failed_ms = None


class World:
    """An instance that knows two servers, at revision 5."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, POOL_LABEL)
        self.servers = ServerList()
        self.listed = 0
        self.watch = Watch()
        self.published = PublishedServers(self, self.timers.clock)
        self.published.watches = (self.watch,)
        first = [make_entry(one, 3, write_server()) for one in ('a', 'b')]
        self.published.on_entries(first, 0, 5)

    def note_listed(self):
        self.listed += 1

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}


def test_what_the_store_tells_can_be_passed_on():
    world = World()
    gone = make_entry('a', 6, None)
    added = make_entry('c', 7, write_server())
    world.timers.advance(100)
    world.published.on_changes([gone, added], 100)
    assert world.members() == {'b', 'c'}
    assert world.servers.revision == 7
    assert world.servers.proof_age_ms(150) == 50
    changes = world.servers.changes_since(5)
    assert {
        key: one.payload is None for key, one in changes.entries.items()
    } == {
        'a': True,
        'c': False,
    }


@pytest.mark.parametrize(
    ('changes', 'members', 'is_new'),
    [
        (ChangeSet(5, 6, {'a': Entry(6, None)}), {'b'}, True),
        (
            ChangeSet(5, 6, {'a': Entry(6, write_server('draining'))}),
            {'b'},
            True,
        ),
        (ChangeSet(0, 8, {'c': Entry(8, write_server())}), {'c'}, True),
        # What is known already, and what leaves a gap.
        (ChangeSet(3, 5, {'a': Entry(4, None)}), {'a', 'b'}, False),
        (ChangeSet(7, 9, {'a': Entry(9, None)}), {'a', 'b'}, False),
    ],
)
def test_changes_from_another_instance(changes, members, is_new):
    world = World()
    assert world.published.take(changes) == is_new
    assert world.members() == members


def test_store_that_is_behind_takes_nothing_back():
    world = World()
    world.published.take(ChangeSet(5, 9, {'c': Entry(9, write_server())}))
    world.published.on_changes([make_entry('c', 8, None)], 50)
    assert world.members() == {'a', 'b', 'c'}
    world.published.on_entries([make_entry('a', 3, write_server())], 60, 7)
    assert world.members() == {'a', 'b', 'c'}


def test_entry_that_perhaps_lapsed_is_kept_a_while_by_everybody():
    reader = World()
    reader.watch.failed_ms = 0
    reader.published.on_changes([make_entry('a', 6, None)], 0)
    follower = World()
    follower.published.take(reader.servers.changes_since(5))
    for world in (reader, follower):
        assert world.members() == {'a', 'b'}
        world.timers.advance(1900)
        assert world.members() == {'b'}


def test_pages_that_are_older_leave_no_gap():
    """What changed between two pages comes with the watch, or from others."""
    world = World()
    pages = [
        make_entry('a', 20, write_server()),
        make_entry('z', 3, write_server()),
    ]
    world.published.on_entries(pages, None, 8)
    assert world.members() == {'a', 'z'}
    assert world.servers.revision == 8
    assert world.servers.proof_age_ms(0) == 0
    world.published.on_changes([make_entry('z', 15, None)], 10)
    assert world.members() == {'a'}
    other = World()
    other.published.take(world.servers.changes_since(5))
    assert other.members() == {'a'}


def test_lapsed_entry_is_kept_by_who_gets_the_whole_list():
    reader = World()
    reader.watch.failed_ms = 0
    reader.published.on_changes([make_entry('a', 6, None)], 0)
    follower = World()
    follower.published.take(reader.servers.changes_since(0))
    assert follower.members() == {'a', 'b'}
    follower.timers.advance(1900)
    assert follower.members() == {'b'}
