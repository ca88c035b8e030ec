"""Tests of a store that comes back from an older copy.

What it had acknowledged for some seconds is gone then, and its revisions are
given out again.  A list of servers that is kept by revision alone takes what is
there now for older than itself, and what changes later too, until the store has
counted as far as before: servers that were replaced meanwhile are asked, and new
ones are not.  Each answer tells how often the store came back.
"""

import base64

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_config import ForwardConfigHolder
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.replica import Entry
from crankchute.core.server_list import ServerList
from crankchute.platform.published import PublishedConfig, PublishedServers
from crankchute.platform.published_test import POOL, write_server
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.store import StoreWatch, WatchPace
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

_GONE = 410
#: Entries are back within about this time, in milliseconds.
_BACK_MS = 1800


class FakeCall:
    """A call that waits for its answer."""

    def __init__(self, path, sink):
        self.path = path
        self.sink = sink

    def cancel(self):
        """Give the call up."""

    def answer(self, document, era, status=200):
        headers = {} if era is None else {'store-era': str(era)}
        self.sink.on_head(status, headers)
        self.sink.on_body(orjson.dumps(document))
        self.sink.on_done()


class World:
    """An instance that watches one prefix of the store."""

    def __init__(self, prefix=SERVERS_PREFIX):
        self.timers = ManualTimers()
        self.http_client = self
        self.settings = self
        self.store = ('127.0.0.1', 1)
        self.calls = []
        self.fleet = ForwardFleet(self.timers, POOL_LABEL)
        self.servers = ServerList()
        self.holder = ForwardConfigHolder()
        self.published = PublishedServers(self, self.timers.clock)
        listener = self.published
        if prefix == CONFIG_KEY:
            listener = PublishedConfig(self.holder)
        pace = WatchPace(
            wait_ms=1000,
            is_needed=self._is_needed,
            pause_ms=0,
            is_told=self._is_told,
            choose_retries=lambda: (400, 800),
        )
        self.watch = StoreWatch(self, prefix, listener, pace)
        self.watch.start()

    @property
    def call(self):
        return self.calls[-1]

    def send(self, _address, payload, sink, _options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.calls[-1]

    def record_listed(self):
        """Nobody waits for the list here."""

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}

    def list_all(self, found, at, era, *, more=False):
        """Answer a read with entries, by id, and their revisions."""
        listed = [make_item(name, *entry) for name, entry in found.items()]
        self.call.answer({'items': listed, 'more': more, 'at': at}, era)

    def change(self, found, at, era):
        """Answer a watch with entries that changed; None for the end of one."""
        events = [make_item(name, *entry) for name, entry in found.items()]
        self.call.answer({'events': events, 'at': at}, era)

    def _is_needed(self):
        return True

    def _is_told(self):
        return False


def make_item(name, revision, payload):
    made = {'tls-key': f'{SERVERS_PREFIX}{name}', 'revision': revision}
    if payload is None:
        return {**made, 'gone': True}
    return {**made, 'value': base64.b64encode(payload).decode()}


def make_world(era=1):
    """Return a world that knows two servers at revision 100 of an era."""
    world = World()
    found = {'a': (60, write_server()), 'b': (90, write_server())}
    world.list_all(found, 100, era)
    return world


def lose_history(world, at):
    """The watch asks for a revision that the store does not have."""
    world.call.answer({'at': at}, 2, _GONE)


def lose_unnoticed(world, at):
    """The store has counted as far as before, and knows of no change."""
    world.change({}, at, 2)


@pytest.mark.parametrize(
    ('lose', 'at'),
    [(lose_history, 50), (lose_unnoticed, 100), (lose_unnoticed, 120)],
)
def test_list_of_a_store_that_came_back_counts(lose, at):
    """Also while its revisions are lower; what is missing may be back."""
    world = make_world()
    lose(world, at)
    assert 'kv-range' in world.call.path
    world.list_all({'a': (30, write_server())}, at, 2)
    assert f'after={at}&' in world.call.path
    assert world.members() == {'a', 'b'}
    world.change({'c': (at + 1, write_server())}, at + 1, 2)
    assert world.members() == {'a', 'b', 'c'}
    world.timers.advance(_BACK_MS + 100)
    assert world.members() == {'a', 'c'}
    world.change({'b': (at + 2, write_server())}, at + 2, 2)
    world.change({'a': (at + 3, None)}, at + 3, 2)
    assert world.members() == {'b', 'c'}


def test_list_is_passed_on_from_one_era_to_the_next():
    """Whoever was told of the earlier one lacks all of it."""
    reader, follower = make_world(), make_world()
    lose_history(reader, 50)
    reader.list_all({'a': (30, write_server())}, 50, 2)
    reader.change({'c': (51, write_server())}, 51, 2)
    assert follower.servers.changes_since(reader.servers.revision) is None
    changes = reader.servers.changes_since(follower.servers.revision)
    assert follower.published.take(changes)
    assert follower.members() == {'a', 'b', 'c'}
    follower.timers.advance(_BACK_MS + 100)
    assert follower.members() == {'a', 'c'}
    reader.change({'d': (52, write_server())}, 52, 2)
    later = reader.servers.changes_since(follower.servers.revision)
    assert set(later.entries) == {'d'}
    assert follower.published.take(later)
    assert follower.members() == {'a', 'c', 'd'}


def test_watch_goes_on_from_what_others_told_of_a_later_era():
    world = make_world()
    others = make_world()
    lose_history(others, 50)
    others.list_all({'a': (30, write_server())}, 50, 2)
    world.published.take(others.servers.changes_since(0))
    world.watch.refresh()
    world.change({'z': (101, write_server())}, 101, 2)
    # That was asked for by a revision of the earlier era.
    assert 'kv-range' in world.call.path
    assert 'z' not in world.members()


def test_server_that_left_is_not_back_with_an_older_copy():
    """It may still answer, and must get nothing."""
    world = make_world()
    world.change({'a': (101, write_server('draining'))}, 101, 1)
    world.change({'b': (102, None)}, 102, 1)
    assert world.members() == set()
    lose_history(world, 95)
    found = {'a': (60, write_server()), 'b': (90, write_server())}
    world.list_all(found, 95, 2)
    assert world.members() == set()
    # One that writes again lives, unless it said that it leaves.
    world.change({'a': (96, write_server())}, 96, 2)
    world.change({'b': (97, write_server())}, 97, 2)
    assert world.members() == {'b'}


def test_earlier_start_of_a_server_is_not_back_with_an_older_copy():
    world = make_world()
    world.change({'a': (101, write_server(born=2))}, 101, 1)
    lose_history(world, 95)
    world.list_all({'a': (60, write_server(born=1))}, 95, 2)
    assert [one.listed.born for one in world.fleet if one.listed.born] == [2]


def test_pages_of_two_eras_are_no_list():
    world = World()
    world.list_all({'a': (60, write_server())}, 100, 1, more=True)
    world.list_all({'b': (20, write_server())}, 50, 2)
    assert world.members() == set()
    world.timers.advance(500)
    assert 'after=' not in world.call.path
    world.list_all({'b': (20, write_server())}, 50, 2)
    assert world.members() == {'b'}


@pytest.mark.parametrize('era', [None, '', 'x', '-1', '1.5', '9' * 30])
def test_answer_that_tells_no_era_changes_nothing(era):
    world = make_world(era=3)
    world.change({'c': (101, write_server())}, 101, era)
    assert world.members() == {'a', 'b', 'c'}
    assert 'after=101&' in world.call.path
    world.change({'c': (102, None)}, 102, 3)
    assert world.members() == {'a', 'b'}


def write_config(version):
    return orjson.dumps({'version': version, 'routes': [], 'services': []})


def test_configuration_does_not_go_back_with_an_older_copy():
    """It is in force until a newer one comes, by whatever revision."""
    world = World(CONFIG_KEY)

    def tell(name, version, revision, era):
        payload = base64.b64encode(write_config(version)).decode()
        told = {'tls-key': CONFIG_KEY, 'revision': revision, 'value': payload}
        document = {name: [told], 'more': False, 'at': revision}
        world.call.answer(document, era)

    tell('items', 12, 100, 1)
    world.call.answer({'at': 50}, 2, _GONE)
    tell('items', 10, 50, 2)
    assert world.holder.version == 12
    tell('events', 12, 51, 2)
    tell('events', 13, 52, 2)
    assert world.holder.version == 13


def test_entry_of_another_instance_is_kept_by_its_era():
    """A list of an earlier era that comes late takes nothing back."""
    world, late = make_world(), make_world()
    lose_history(world, 50)
    world.list_all({'a': (30, write_server())}, 50, 2)
    late.change({'d': (140, write_server())}, 140, 1)
    told = late.servers.changes_since(0)
    assert isinstance(told.entries['d'], Entry)
    assert not world.published.take(told)
    assert 'd' not in world.members()
