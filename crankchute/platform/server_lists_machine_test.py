"""State machine: instances whose lists of servers come from many sources.

Two instances read a store that has stale pages, forgets its history and is
restored from older copies; a third one gets its list from them only.  Each of
them may pull from any other one or start again at any moment.
"""

from urllib.parse import parse_qsl, urlsplit

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from crankchute.adapters.peer_records import read_changes, write_changes
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.server_list import ServerList
from crankchute.errors import BackendError
from crankchute.platform.published import PublishedServers
from crankchute.platform.published_test import write_server
from crankchute.platform.server_entries import POOL_LABEL
from crankchute.platform.store import StoreWatch, WatchPolicy
from crankchute.platform.store_era_test import FakeCall, make_entry
from crankchute.platform.store_position import era_of, revision_of
from crankchute.platform.wire import SERVERS_PREFIX

_INSTANCES = 3
_READERS = 2
_PAGE = 2
_MAX_PAGES = 4
_FIRST_REVISION = 100
_ROUND_MS = 250
#: After the last change all lists are equal within four seconds.
_MAX_ROUNDS = 16

servers = st.sampled_from('abc')
instances = st.integers(0, _INSTANCES - 1)


class SimulatedStore:
    """A store of server entries that keeps all of its states.

    Attributes:
      era: How often it was restored.
      states: A list for each era of pairs of a revision and the entries then,
        a map from id to revision and payload.
    """

    def __init__(self):
        self.era = 0
        self.states = [[(_FIRST_REVISION, {})]]
        self._oldest = _FIRST_REVISION

    @property
    def newest(self):
        return self.states[-1][-1]

    def write(self, name, payload):
        """Write an entry, or delete it with a payload of None."""
        revision, entries = self.newest
        revision += 1
        entries = {**entries, name: (revision, payload)}
        if payload is None:
            entries.pop(name)
        self.states[-1].append((revision, entries))

    def forget(self):
        self._oldest = self.newest[0]

    def restore(self, age):
        """Restore the state of some changes ago."""
        older = self.states[-1][-1 - min(age, len(self.states[-1]) - 1)]
        self.states.append([older])
        self.era += 1
        self._oldest = older[0]

    def find(self, era, revision):
        """Return the entries that an era had at a revision."""
        past = [state for at, state in self.states[era] if at <= revision]
        return past[-1]

    def answer(self, target, age):
        """Return the status and document that answer a call.

        Args:
          target: The path and query.
          age: By how many changes a stale read is late.
        """
        fields = dict(parse_qsl(target.query))
        if 'wait-ms' in fields:
            return self._watch(int(fields['after']))
        states = self.states[-1]
        is_late = 'stale' in fields
        state = states[-1 - min(age * is_late, len(states) - 1)]
        return 200, self._list_page(*state, fields.get('after', ''))

    def _list_page(self, revision, entries, after):
        names = sorted(
            name for name in entries if SERVERS_PREFIX + name > after
        )
        listed = [make_entry(name, *entries[name]) for name in names[:_PAGE]]
        return {'items': listed, 'more': len(names) > _PAGE, 'at': revision}

    def _watch(self, after):
        newest, entries = self.newest
        if not self._oldest <= after <= newest:
            return 410, {}
        events = [
            make_entry(name, *entry)
            for name, entry in entries.items()
            if entry[0] > after
        ]
        for at, state in self.states[-1]:
            if at > after:
                before = self.find(self.era, at - 1)
                events.extend(
                    make_entry(name, at, None)
                    for name in before.keys() - state.keys()
                    if name not in entries
                )
        return 200, {'events': events, 'at': newest}


class Instance:
    """An instance; it reads the store if it has to."""

    def __init__(self, store, *, is_reader):
        self._store = store
        self.timers = ManualTimers()
        self.http_client = self
        self.settings = self
        self.store = ('127.0.0.1', 1)
        self.call = None
        self.replies = []
        self.fleet = ForwardFleet(self.timers, POOL_LABEL)
        self.servers = ServerList()
        self.published = PublishedServers(self, self.timers.clock)
        policy = WatchPolicy(
            wait_ms=1000,
            is_needed=lambda: is_reader,
            batch_ms=0,
            is_fresh=lambda: not is_reader,
            choose_retry_delays=lambda: (400, 800),
        )
        watch = StoreWatch(self, SERVERS_PREFIX, self.published, policy)
        self.published.watches = (watch,)
        if is_reader:
            watch.start()

    @property
    def era(self):
        return era_of(self.servers.revision)

    def send(self, _address, payload, sink, _options):
        self.call = FakeCall(payload.split(b' ')[1].decode(), sink)
        return self

    def cancel(self):
        self.call = None

    def record_listed(self):
        """Do nothing."""

    def answer(self, age):
        call = self._take_call()
        if call is not None:
            target = urlsplit(call.path)
            status, document = self._store.answer(target, age)
            call.answer(document, self._store.era, status)

    def fail(self):
        call = self._take_call()
        if call is not None:
            call.sink.on_error(BackendError('lost', sent=True))

    def pull(self, other):
        changes = other.servers.changes_since(self.servers.revision)
        if changes is not None:
            self.published.apply(read_changes(write_changes(changes)))

    def live_revisions(self):
        """Return a map from the id of each listed server to its revision."""
        whole = self.servers.changes_since(0)
        entries = {} if whole is None else whole.entries
        return {
            name: revision_of(entry.revision)
            for name, entry in entries.items()
            if entry.payload is not None
        }

    def _take_call(self):
        call = self.call
        self.call = None
        return call


class ServerLists(RuleBasedStateMachine):
    """Lists of servers that reach instances in every possible way."""

    def __init__(self):
        super().__init__()
        self._store = SimulatedStore()
        self._instances = {}
        for number in range(_INSTANCES):
            self.start(number)

    @initialize(listed=st.sets(servers))
    def publish(self, listed):
        """Let all instances know the same list."""
        for name in sorted(listed):
            self.write(name)
        for number in range(_READERS):
            self.follow(number)
        self.pull(_INSTANCES - 1, 0)

    @rule(number=instances)
    def start(self, number):
        """Start an instance, or start it again."""
        self._instances[number] = Instance(
            self._store, is_reader=number < _READERS
        )

    @rule(name=servers)
    def write(self, name):
        self._store.write(name, write_server())

    @rule(name=servers)
    def delete(self, name):
        if name in self._store.newest[1]:
            self._store.write(name, None)

    @rule()
    def forget(self):
        self._store.forget()

    @rule(age=st.integers(0, 4))
    def restore(self, age):
        self._store.restore(age)

    @rule(number=instances, age=st.integers(0, 8))
    def answer(self, number, age):
        self._instances[number].answer(age)

    @rule(number=instances)
    def follow(self, number):
        """Answer calls of an instance until it has read all pages."""
        for _ in range(_MAX_PAGES):
            self._instances[number].answer(0)

    @rule(name=servers)
    def delete_and_forget(self, name):
        """Delete an entry; no watch tells it any more."""
        self.delete(name)
        self._store.forget()

    @rule(number=instances)
    def fail(self, number):
        self._instances[number].fail()

    @rule(number=instances, other=instances)
    def pull(self, number, other):
        self._instances[number].pull(self._instances[other])

    @rule(number=instances, other=instances)
    def ask(self, number, other):
        """Ask another instance for changes; they arrive later."""
        asking = self._instances[number]
        changes = self._instances[other].servers.changes_since(
            asking.servers.revision
        )
        if changes is not None:
            asking.replies.append(read_changes(write_changes(changes)))

    @rule(number=instances)
    def receive(self, number):
        """Receive the changes that were asked for first."""
        receiving = self._instances[number]
        if receiving.replies:
            receiving.published.apply(receiving.replies.pop(0))

    @rule(delay_ms=st.sampled_from([50, 400, 2000]))
    def advance(self, delay_ms):
        for instance in self._instances.values():
            instance.timers.advance(delay_ms)

    @invariant()
    def check_lists_cover_their_revision(self):
        """A list is the store's at its revision, or newer for some servers."""
        for instance in self._instances.values():
            if instance.servers.revision:
                self._check_list(instance)

    def teardown(self):
        """After the last change all lists become equal to the store's."""
        expected = {
            name: revision
            for name, (revision, _payload) in self._store.newest[1].items()
        }
        for _ in range(_MAX_ROUNDS):
            for number, instance in self._instances.items():
                instance.timers.advance(_ROUND_MS)
                instance.answer(0)
                instance.pull(self._instances[(number + 1) % _INSTANCES])
        for instance in self._instances.values():
            assert instance.live_revisions() == expected

    def _check_list(self, instance):
        at = revision_of(instance.servers.revision)
        state = self._store.find(instance.era, at)
        newest = self._store.states[instance.era][-1][1]
        listed = instance.live_revisions()
        for name, revision in listed.items():
            assert revision > at or state.get(name, (0,))[0] == revision
        for name, (known, _payload) in state.items():
            is_unchanged = newest.get(name, (0,))[0] == known
            assert name in listed or not is_unchanged


ServerLists.TestCase.settings = settings(
    max_examples=300,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestServerLists = ServerLists.TestCase
