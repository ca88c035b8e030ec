"""Tests of server entries from the store and from other instances."""

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_list import ServerList
from crankchute.platform.published import PublishedServers
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.store_pages import StoreEntry
from crankchute.platform.store_position import make_position
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
    """A watch that may have failed."""

    def __init__(self):
        self.last_failure_ms = None


class Harness:
    """The server list of an instance: two servers at revision 5."""

    def __init__(self):
        self.timers = ManualTimers()
        self.fleet = ForwardFleet(self.timers, POOL_LABEL)
        self.servers = ServerList()
        self.listed = 0
        self.watch = Watch()
        self.published = PublishedServers(self, self.timers.clock)
        self.published.watches = (self.watch,)
        entries = [make_entry(name, 3, write_server()) for name in ('a', 'b')]
        self.published.on_entries(entries, 0, 5)

    def record_listed(self):
        self.listed += 1

    def members(self):
        return {one.identity for one in self.fleet.members_of(POOL)}


def test_changes_from_the_store_can_be_forwarded():
    harness = Harness()
    gone = make_entry('a', 6, None)
    added = make_entry('c', 7, write_server())
    harness.timers.advance(100)
    harness.published.on_changes([gone, added], 100)
    assert harness.members() == {'b', 'c'}
    assert harness.servers.revision == 7
    assert harness.servers.proof_age_ms(150) == 50
    changes = harness.servers.changes_since(5)
    assert {
        name: entry.payload is None for name, entry in changes.entries.items()
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
        # Changes that are known already, and changes that leave a gap.
        (ChangeSet(3, 5, {'a': Entry(4, None)}), {'a', 'b'}, False),
        (ChangeSet(7, 9, {'a': Entry(9, None)}), {'a', 'b'}, False),
    ],
)
def test_changes_from_another_instance(changes, members, is_new):
    harness = Harness()
    assert harness.published.apply(changes) == is_new
    assert harness.members() == members


@pytest.mark.parametrize(('known', 'is_applied'), [(5, True), (6, False)])
def test_changes_for_an_older_list_keep_a_server_that_left(known, is_applied):
    """They were asked for before the watch told of an added server."""
    teller, asking = Harness(), Harness()
    # The teller has not seen that `c` was added at 6 and deleted at 7.
    entries = [make_entry(name, 3, write_server()) for name in ('a', 'b')]
    teller.published.on_entries(entries, 100, 8)
    reply = teller.servers.changes_since(asking.servers.revision)
    if known == 6:
        added = make_entry('c', 6, write_server())
        asking.published.on_changes([added], 50)
    assert asking.published.apply(reply) == is_applied
    later = teller.servers.changes_since(asking.servers.revision)
    if later is not None:
        asking.published.apply(later)
    assert asking.members() == {'a', 'b'}


@pytest.mark.parametrize('passed_on', ['changes', 'whole list'])
def test_deletion_in_a_lost_history_is_kept_from_a_third_instance(passed_on):
    """It went on sending requests to the server that had left."""
    reader, passing, third = Harness(), Harness(), Harness()
    added = make_entry('c', 6, write_server())
    third.published.on_changes([added], 50)
    # No watch tells that `a` was deleted at revision 7.
    entries = [make_entry('b', 3, write_server()), added]
    reader.published.on_entries(entries, 100, 8)
    since = 5 if passed_on == 'changes' else 0
    passing.published.apply(reader.servers.changes_since(since))
    third.published.apply(passing.servers.changes_since(6))
    for harness in (passing, third):
        assert harness.members() == {'b', 'c'}
        assert harness.servers.revision == 8


@pytest.mark.parametrize(('revision', 'members'), [(3, {'b'}), (8, {'a', 'b'})])
def test_list_from_before_a_reported_removal_returns_the_server(
    revision, members
):
    """Only an entry that was written again shows that the server is back."""
    harness = Harness()
    harness.timers.advance(4000)
    harness.fleet.record_removed('a')
    entries = {
        'a': Entry(revision, write_server()),
        'b': Entry(3, write_server()),
    }
    harness.published.apply(ChangeSet(0, 8, entries))
    assert harness.members() == members


def test_older_responses_of_the_store_are_ignored():
    harness = Harness()
    harness.published.apply(ChangeSet(5, 9, {'c': Entry(9, write_server())}))
    harness.published.on_changes([make_entry('c', 8, None)], 50)
    assert harness.members() == {'a', 'b', 'c'}
    harness.published.on_entries([make_entry('a', 3, write_server())], 60, 7)
    assert harness.members() == {'a', 'b', 'c'}


def test_possibly_expired_entry_is_kept_for_a_while():
    reader = Harness()
    reader.watch.last_failure_ms = 0
    reader.published.on_changes([make_entry('a', 6, None)], 0)
    follower = Harness()
    follower.published.apply(reader.servers.changes_since(5))
    for harness in (reader, follower):
        assert harness.members() == {'a', 'b'}
        harness.timers.advance(1900)
        assert harness.members() == {'b'}


def test_changes_between_stale_pages_are_not_lost():
    """They arrive with the watch or from other instances."""
    harness = Harness()
    pages = [
        make_entry('a', 20, write_server()),
        make_entry('z', 3, write_server()),
    ]
    harness.published.on_entries(pages, None, 8)
    assert harness.members() == {'a', 'z'}
    assert harness.servers.revision == 8
    assert harness.servers.proof_age_ms(0) == 0
    harness.published.on_changes([make_entry('z', 15, None)], 10)
    assert harness.members() == {'a'}
    other = Harness()
    other.published.apply(harness.servers.changes_since(5))
    assert other.members() == {'a'}


def test_possibly_expired_entry_is_kept_from_a_whole_list():
    reader = Harness()
    reader.watch.last_failure_ms = 0
    reader.published.on_changes([make_entry('a', 6, None)], 0)
    follower = Harness()
    follower.published.apply(reader.servers.changes_since(0))
    assert follower.members() == {'a', 'b'}
    follower.timers.advance(1900)
    assert follower.members() == {'b'}


MALFORMED = (b'', b'no json', b'{}', b'\xff', write_server(zone=None))


@pytest.mark.parametrize('payload', MALFORMED)
@pytest.mark.parametrize('is_whole', [True, False])
def test_malformed_entry_does_not_affect_others(payload, is_whole):
    harness = Harness()
    other = Harness()
    entries = [
        make_entry('a', 8, payload),
        make_entry('b', 3, write_server()),
        make_entry('c', 7, write_server()),
        make_entry('x', 9, payload),
    ]
    if is_whole:
        harness.published.on_entries(entries, 100, 9)
    else:
        harness.published.on_changes(entries, 100)
    assert harness.members() == {'b', 'c'}
    # Other instances do not get the malformed payload.
    changes = harness.servers.changes_since(5)
    assert changes.entries['x'].payload is None
    assert other.published.apply(changes)
    assert other.members() == {'b', 'c'}
    harness.published.on_changes([make_entry('a', 10, write_server())], 200)
    assert harness.members() == {'a', 'b', 'c'}


def record_log(monkeypatch):
    """Return a list that collects the names of log events."""
    names = []
    monkeypatch.setattr(
        'crankchute.platform.published.log_change',
        lambda name, **fields: names.append(name),
    )
    return names


def test_changes_of_one_response_are_logged_together(monkeypatch):
    harness = Harness()
    names = record_log(monkeypatch)
    entries = [
        make_entry(f's{number}', 7 + number, write_server())
        for number in range(20)
    ]
    harness.published.on_changes(entries, 100)
    assert names == ['servers_changed']
    assert len(harness.members()) == 22


def test_malformed_entry_is_logged_once(monkeypatch):
    harness = Harness()
    names = record_log(monkeypatch)
    entries = [make_entry('x', 6, b'{}'), make_entry('a', 3, write_server())]
    for at in (6, 7, 8):
        harness.published.on_entries(entries, 100, at)
    assert names.count('server_refused') == 1
    harness.published.on_changes([make_entry('x', 9, b'7')], 100)
    assert names.count('server_refused') == 2
    assert 'server_gone' not in names


@pytest.mark.parametrize('source', ['store', 'instance', 'list'])
def test_restarted_server_replaces_its_earlier_incarnation(source):
    """The id and the address stay the same."""
    harness = Harness()
    entry = write_server(born=100)
    harness.published.on_changes([make_entry('a', 6, entry)], 50)
    harness.fleet.record_drained('a@100')
    restarted = write_server(born=200)
    if source == 'store':
        harness.published.on_changes([make_entry('a', 7, restarted)], 60)
    elif source == 'instance':
        harness.published.apply(ChangeSet(6, 7, {'a': Entry(7, restarted)}))
    else:
        harness.published.on_entries([make_entry('a', 7, restarted)], 60, 7)
    assert 'a@200' in harness.members()
    # An entry of the earlier incarnation that arrives late is ignored.
    late = ChangeSet(7, 8, {'a': Entry(8, write_server('draining', born=100))})
    harness.published.apply(late)
    assert 'a@200' in harness.members()


@pytest.mark.parametrize(
    ('position', 'is_restored'),
    [(6, False), (make_position(1, 6), True)],
)
def test_age_of_an_entry_is_passed_on(position, is_restored):
    """The cold time in an entry that is read again has passed meanwhile."""
    harness = Harness()
    entry = make_entry('a', 3, write_server())
    harness.published.on_entries([entry], 0, position)
    listed = harness.fleet.get('a').listed
    assert listed.revision == 3
    assert listed.is_restored is is_restored
