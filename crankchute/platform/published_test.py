"""Tests of entries of servers that come from the store and from others."""

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList
from crankchute.platform.published import PublishedServers
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.store_pages import StoreEntry
from crankchute.platform.wire import SERVERS_PREFIX

POOL = 'pool-a'


def write_server(state='ready', **changes):
    document = {
        'service': POOL,
        'address': '127.0.0.1:7001',
        'zone': 'one',
        'version': 'v1',
        'slots': 8,
        'state': state,
        'cold-remaining-ms': 0,
        'sequence': 1,
    }
    return orjson.dumps({**document, **changes})


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

    def record_listed(self):
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


SPOILED = (b'', b'no json', b'{}', b'\xff', write_server(zone=None))


@pytest.mark.parametrize('payload', SPOILED)
@pytest.mark.parametrize('is_whole', [True, False])
def test_entry_of_another_writer_names_nobody_and_hides_nobody(
    payload, is_whole
):
    world = World()
    other = World()
    found = [
        make_entry('a', 8, payload),
        make_entry('b', 3, write_server()),
        make_entry('c', 7, write_server()),
        make_entry('x', 9, payload),
    ]
    if is_whole:
        world.published.on_entries(found, 100, 9)
    else:
        world.published.on_changes(found, 100)
    assert world.members() == {'b', 'c'}
    # Others get neither the entry nor the work of reading it.
    changes = world.servers.changes_since(5)
    assert changes.entries['x'].payload is None
    assert other.published.take(changes)
    assert other.members() == {'b', 'c'}
    world.published.on_changes([make_entry('a', 10, write_server())], 200)
    assert world.members() == {'a', 'b', 'c'}


def record_log(monkeypatch):
    """Return the list that the names of log lines are added to."""
    lines = []
    monkeypatch.setattr(
        'crankchute.platform.published.log_change',
        lambda name, **fields: lines.append(name),
    )
    return lines


def test_changes_that_come_together_are_one_line(monkeypatch):
    world = World()
    lines = record_log(monkeypatch)
    found = [
        make_entry(f's{number}', 7 + number, write_server())
        for number in range(20)
    ]
    world.published.on_changes(found, 100)
    assert lines == ['servers_changed']
    assert len(world.members()) == 22


def test_entry_of_another_writer_is_logged_once(monkeypatch):
    world = World()
    lines = record_log(monkeypatch)
    found = [make_entry('x', 6, b'{}'), make_entry('a', 3, write_server())]
    for at in (6, 7, 8):
        world.published.on_entries(found, 100, at)
    assert lines.count('server_refused') == 1
    world.published.on_changes([make_entry('x', 9, b'7')], 100)
    assert lines.count('server_refused') == 2
    assert 'server_gone' not in lines


@pytest.mark.parametrize('tell', ['store', 'instance', 'list'])
def test_server_that_started_again_is_another_one_by_every_way(tell):
    """Its id and its address are those of before."""
    world = World()
    entry = write_server(born=100)
    world.published.on_changes([make_entry('a', 6, entry)], 50)
    world.fleet.record_drained('a@100')
    again = write_server(born=200)
    if tell == 'store':
        world.published.on_changes([make_entry('a', 7, again)], 60)
    elif tell == 'instance':
        world.published.take(ChangeSet(6, 7, {'a': Entry(7, again)}))
    else:
        world.published.on_entries([make_entry('a', 7, again)], 60, 7)
    assert 'a@200' in world.members()
    # An older word that arrives late changes nothing.
    late = ChangeSet(7, 8, {'a': Entry(8, write_server('draining', born=100))})
    world.published.take(late)
    assert 'a@200' in world.members()
