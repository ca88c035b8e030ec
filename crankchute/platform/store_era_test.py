"""Tests of a store that was restored from an older snapshot.

Its last changes are lost and their revisions are assigned again, so a list of
servers that compares revisions alone would ignore new changes as outdated.
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
from crankchute.platform.store import StoreWatch, WatchPolicy
from crankchute.platform.wire import CONFIG_KEY, SERVERS_PREFIX

_GONE = 410
#: Servers write lost entries again within this time, in milliseconds.
_REWRITE_MS = 1800


class FakeCall:
    """A pending call."""

    def __init__(self, path, sink):
        self.path = path
        self.sink = sink

    def cancel(self):
        """Do nothing."""

    def answer(self, document, era, status=200):
        headers = {} if era is None else {'store-era': str(era)}
        self.sink.on_head(status, headers)
        self.sink.on_body(orjson.dumps(document))
        self.sink.on_done()


class Harness:
    """The parts of an instance that follow one prefix of the store."""

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
        policy = WatchPolicy(
            wait_ms=1000,
            is_needed=self._is_needed,
            batch_ms=0,
            is_fresh=self._is_fresh,
            choose_retry_delays=lambda: (400, 800),
        )
        self.watch = StoreWatch(self, prefix, listener, policy)
        self.watch.start()

    @property
    def call(self):
        return self.calls[-1]

    def send(self, _address, payload, sink, _options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.calls[-1]

    def record_listed(self):
        """Do nothing."""

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}

    def answer_read(self, entries, at, era, *, more=False):
        """Answer a read.

        Args:
          entries: A map from id to revision and payload.
          at: The store's revision.
          era: The era that the response names.
          more: Whether another page follows.
        """
        listed = [make_entry(name, *entry) for name, entry in entries.items()]
        self.call.answer({'items': listed, 'more': more, 'at': at}, era)

    def answer_watch(self, entries, at, era):
        """Answer a watch; a payload of None is a deletion."""
        events = [make_entry(name, *entry) for name, entry in entries.items()]
        self.call.answer({'events': events, 'at': at}, era)

    def _is_needed(self):
        return True

    def _is_fresh(self):
        return False


def make_entry(name, revision, payload):
    entry = {'tls-key': f'{SERVERS_PREFIX}{name}', 'revision': revision}
    if payload is None:
        return {**entry, 'gone': True}
    return {**entry, 'value': base64.b64encode(payload).decode()}


def make_harness(era=1):
    """Return a Harness that knows two servers at revision 100 of an era."""
    harness = Harness()
    entries = {'a': (60, write_server()), 'b': (90, write_server())}
    harness.answer_read(entries, 100, era)
    return harness


def answer_compacted(harness, at):
    """Answer that the store does not have the revision of the watch."""
    harness.call.answer({'at': at}, 2, _GONE)


def answer_no_change(harness, at):
    """Answer without changes, but in another era."""
    harness.answer_watch({}, at, 2)


@pytest.mark.parametrize(
    ('restore', 'at'),
    [
        (answer_compacted, 50),
        (answer_no_change, 100),
        (answer_no_change, 120),
    ],
)
def test_list_of_a_restored_store_replaces_the_known_one(restore, at):
    """Also at a lower revision; missing entries are kept for a while."""
    harness = make_harness()
    restore(harness, at)
    assert 'kv-range' in harness.call.path
    harness.answer_read({'a': (30, write_server())}, at, 2)
    assert f'after={at}&' in harness.call.path
    assert harness.members() == {'a', 'b'}
    harness.answer_watch({'c': (at + 1, write_server())}, at + 1, 2)
    assert harness.members() == {'a', 'b', 'c'}
    harness.timers.advance(_REWRITE_MS + 100)
    assert harness.members() == {'a', 'c'}
    harness.answer_watch({'b': (at + 2, write_server())}, at + 2, 2)
    harness.answer_watch({'a': (at + 3, None)}, at + 3, 2)
    assert harness.members() == {'b', 'c'}


def test_other_instances_get_the_whole_list_of_a_new_era():
    """Changes alone would not replace the list of the era before."""
    reader, follower = make_harness(), make_harness()
    answer_compacted(reader, 50)
    reader.answer_read({'a': (30, write_server())}, 50, 2)
    reader.answer_watch({'c': (51, write_server())}, 51, 2)
    assert follower.servers.changes_since(reader.servers.revision) is None
    changes = reader.servers.changes_since(follower.servers.revision)
    assert follower.published.apply(changes)
    assert follower.members() == {'a', 'b', 'c'}
    follower.timers.advance(_REWRITE_MS + 100)
    assert follower.members() == {'a', 'c'}
    reader.answer_watch({'d': (52, write_server())}, 52, 2)
    later = reader.servers.changes_since(follower.servers.revision)
    assert set(later.entries) == {'d'}
    assert follower.published.apply(later)
    assert follower.members() == {'a', 'c', 'd'}


def test_watch_reads_again_if_others_know_a_later_era():
    harness = make_harness()
    other = make_harness()
    answer_compacted(other, 50)
    other.answer_read({'a': (30, write_server())}, 50, 2)
    harness.published.apply(other.servers.changes_since(0))
    harness.watch.refresh()
    harness.answer_watch({'z': (101, write_server())}, 101, 2)
    # The revision of the watch was one of the earlier era.
    assert 'kv-range' in harness.call.path
    assert 'z' not in harness.members()


def test_restored_entry_of_a_removed_server_is_ignored():
    """The server may still respond, but must not get requests."""
    harness = make_harness()
    harness.answer_watch({'a': (101, write_server('draining'))}, 101, 1)
    harness.answer_watch({'b': (102, None)}, 102, 1)
    assert harness.members() == set()
    answer_compacted(harness, 95)
    entries = {'a': (60, write_server()), 'b': (90, write_server())}
    harness.answer_read(entries, 95, 2)
    assert harness.members() == set()
    # A server that writes its entry again is used, unless it was draining.
    harness.answer_watch({'a': (96, write_server())}, 96, 2)
    harness.answer_watch({'b': (97, write_server())}, 97, 2)
    assert harness.members() == {'b'}


def test_restored_entry_of_an_earlier_incarnation_is_ignored():
    harness = make_harness()
    harness.answer_watch({'a': (101, write_server(born=2))}, 101, 1)
    answer_compacted(harness, 95)
    harness.answer_read({'a': (60, write_server(born=1))}, 95, 2)
    assert [one.listed.born for one in harness.fleet if one.listed.born] == [2]


def test_pages_of_two_eras_are_not_combined():
    harness = Harness()
    harness.answer_read({'a': (60, write_server())}, 100, 1, more=True)
    harness.answer_read({'b': (20, write_server())}, 50, 2)
    assert harness.members() == set()
    harness.timers.advance(500)
    assert 'after=' not in harness.call.path
    harness.answer_read({'b': (20, write_server())}, 50, 2)
    assert harness.members() == {'b'}


@pytest.mark.parametrize('era', [None, '', 'x', '-1', '1.5', '9' * 30])
def test_response_without_valid_era_keeps_the_known_one(era):
    harness = make_harness(era=3)
    harness.answer_watch({'c': (101, write_server())}, 101, era)
    assert harness.members() == {'a', 'b', 'c'}
    assert 'after=101&' in harness.call.path
    harness.answer_watch({'c': (102, None)}, 102, 3)
    assert harness.members() == {'a', 'b'}


def write_config(version):
    return orjson.dumps({'version': version, 'routes': [], 'services': []})


def test_restored_configuration_of_lower_version_is_ignored():
    """Configurations are compared by version, not by revision."""
    harness = Harness(CONFIG_KEY)

    def answer(name, version, revision, era):
        payload = base64.b64encode(write_config(version)).decode()
        entry = {'tls-key': CONFIG_KEY, 'revision': revision, 'value': payload}
        document = {name: [entry], 'more': False, 'at': revision}
        harness.call.answer(document, era)

    answer('items', 12, 100, 1)
    harness.call.answer({'at': 50}, 2, _GONE)
    answer('items', 10, 50, 2)
    assert harness.holder.version == 12
    answer('events', 12, 51, 2)
    answer('events', 13, 52, 2)
    assert harness.holder.version == 13


def test_list_of_an_earlier_era_from_another_instance_is_ignored():
    """Also at a higher revision."""
    harness, late = make_harness(), make_harness()
    answer_compacted(harness, 50)
    harness.answer_read({'a': (30, write_server())}, 50, 2)
    late.answer_watch({'d': (140, write_server())}, 140, 1)
    changes = late.servers.changes_since(0)
    assert isinstance(changes.entries['d'], Entry)
    assert not harness.published.apply(changes)
    assert 'd' not in harness.members()
