"""Tests of evacuations and the configuration that are read with one watch."""

import base64

import pytest

from crankchute.core.evacuations import Evacuation, Evacuations
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_config import ForwardConfigHolder
from crankchute.core.forward_fleet import ForwardFleet
from crankchute.core.peer_message import PeerMessage
from crankchute.entry.evacuation_control import EvacuationControl
from crankchute.platform.published import PublishedConfig
from crankchute.platform.published_evacuations import PublishedOperatorKeys
from crankchute.platform.server_entries import POOL_LABEL, read_server
from crankchute.platform.published_test import write_server
from crankchute.platform.store import StoreWatch, WatchPolicy
from crankchute.platform.store_era_test import FakeCall, write_config
from crankchute.platform.store_position import make_position
from crankchute.platform.wire import CONFIG_KEY, OPERATOR_PREFIX

_GONE = 410
ZONE = 'op/evacuate/one'
OTHER_ZONE = 'op/evacuate/two'


class Desk:
    """A desk without requests."""

    flows = ()


class Harness:
    """The parts of an instance that watch the operator's keys."""

    def __init__(self):
        self.timers = ManualTimers()
        self.http_client = self
        self.settings = self
        self.store = ('127.0.0.1', 1)
        self.calls = []
        self.evacuations = Evacuations(is_enabled=True)
        self.fleet = ForwardFleet(self.timers, POOL_LABEL, self.evacuations)
        self.desk = Desk()
        self.holder = ForwardConfigHolder()
        self.control = EvacuationControl(self, ('three',))
        self.sent = 0
        self.control.subscribe(self._count_sent)
        self.known = []
        self.control.on_known = lambda: self.known.append(True)
        self.is_needed = True
        policy = WatchPolicy(
            wait_ms=1000,
            is_needed=lambda: self.is_needed,
            batch_ms=0,
            is_fresh=self._is_fresh,
            choose_retry_delays=lambda: (400, 800),
        )
        listener = PublishedOperatorKeys(
            self.control, PublishedConfig(self.holder)
        )
        self.watch = StoreWatch(self, OPERATOR_PREFIX, listener, policy)
        self.watch.start()

    @property
    def call(self):
        return self.calls[-1]

    @property
    def evacuated(self):
        return self.evacuations.evacuated

    def now_ms(self):
        return self.timers.clock.now_ms()

    def send(self, _address, payload, sink, _options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.call

    def answer_read(self, keys, at, era=1, *, more=False):
        """Answer a read with a map from key to revision and payload."""
        listed = [make_entry(key, *entry) for key, entry in keys.items()]
        self.call.answer({'items': listed, 'more': more, 'at': at}, era)

    def answer_watch(self, keys, at, era=1):
        """Answer a watch; a payload of None is a deletion."""
        listed = [make_entry(key, *entry) for key, entry in keys.items()]
        self.call.answer({'events': listed, 'at': at}, era)

    def list_server(self, data_centre):
        self.fleet.put(read_server('s', write_server(zone=data_centre)))

    def receive(self, *records, knows=True, instance='other'):
        message = PeerMessage(
            **{
                **dict.fromkeys(PeerMessage.__slots__),
                'instance': instance,
                'evacuations': records,
                'knows_evacuations': knows,
            }
        )
        self.control.receive(message)
        return message

    def _is_fresh(self):
        return False

    def _count_sent(self):
        self.sent += 1


def make_entry(key, revision, payload=b''):
    entry = {'tls-key': key, 'revision': revision}
    if payload is None:
        return {**entry, 'gone': True}
    return {**entry, 'value': base64.b64encode(payload).decode()}


CONFIG = (3, write_config(7))


def make_harness():
    """Return a Harness that read the configuration and one evacuation."""
    harness = Harness()
    harness.answer_read({CONFIG_KEY: CONFIG, ZONE: (5,)}, 10)
    return harness


def test_one_read_has_the_configuration_and_the_evacuations():
    """Calls of the store are charged for."""
    harness = make_harness()
    assert harness.evacuated == {'one'}
    assert harness.holder.version == 7
    assert harness.known == [True]
    assert [call.path.split('&')[0] for call in harness.calls] == [
        '/api/kv-range?path-prefix=op%2F',
        '/api/kv-watch?path-prefix=op%2F',
    ]


def test_changes_are_applied_and_sent_at_once():
    harness = make_harness()
    sent = harness.sent
    harness.answer_watch({OTHER_ZONE: (11, b'any')}, 11)
    assert harness.evacuated == {'one', 'two'}
    assert harness.sent == sent + 1
    harness.answer_watch({ZONE: (12, None)}, 12)
    assert harness.evacuated == {'two'}
    assert harness.sent == sent + 2
    harness.answer_watch({}, 12)
    assert harness.sent == sent + 2
    assert harness.holder.proof_age_ms(harness.now_ms()) == 0


@pytest.mark.parametrize('status', [429, 500, 503])
def test_evacuation_during_an_outage_is_read_afterwards(status):
    """The key was written before the outage, and the answer was lost."""
    harness = make_harness()
    harness.call.answer({}, 1, status)
    assert harness.evacuated == {'one'}
    harness.timers.advance(200)
    assert 'after=10&' in harness.call.path
    harness.call.answer({}, 1, status)
    harness.timers.advance(800)
    harness.answer_watch({OTHER_ZONE: (11,)}, 14)
    assert harness.evacuated == {'one', 'two'}


@pytest.mark.parametrize(
    ('keys', 'evacuated'),
    [
        ({CONFIG_KEY: CONFIG}, set()),
        ({CONFIG_KEY: CONFIG, OTHER_ZONE: (25,)}, {'two'}),
        ({CONFIG_KEY: CONFIG, ZONE: (5,), OTHER_ZONE: (25,)}, {'one', 'two'}),
    ],
)
def test_compacted_history_is_replaced_by_a_read(keys, evacuated):
    """The known records stay in force until then."""
    harness = make_harness()
    harness.call.answer({'at': 30}, 1, _GONE)
    assert harness.evacuated == {'one'}
    harness.call.answer({}, 1, 503)
    assert harness.evacuated == {'one'}
    harness.timers.advance(200)
    harness.answer_read(keys, 30)
    assert harness.evacuated == evacuated


@pytest.mark.parametrize(
    ('keys', 'evacuated'),
    [
        ({CONFIG_KEY: CONFIG}, set()),
        ({CONFIG_KEY: CONFIG, ZONE: (2,)}, {'one'}),
        ({CONFIG_KEY: CONFIG, OTHER_ZONE: (2,)}, {'two'}),
    ],
)
def test_restored_store_takes_precedence(keys, evacuated):
    """Its revisions are lower, and mean other changes than before."""
    harness = make_harness()
    harness.answer_watch({ZONE: (90,)}, 90)
    harness.answer_watch({}, 95, era=2)
    assert 'kv-range' in harness.call.path
    harness.answer_read(keys, 40, era=2)
    assert harness.evacuated == evacuated
    # An instance that has not noticed the restore.
    old = Evacuation('one', make_position(1, 99), is_evacuated=True)
    harness.receive(old)
    assert harness.evacuated == evacuated


def test_stale_pages_do_not_make_the_evacuations_known():
    """Later pages may be seconds old; the watch brings what they lack."""
    harness = Harness()
    harness.answer_read({CONFIG_KEY: CONFIG}, 20, more=True)
    harness.answer_read({ZONE: (5,)}, 12)
    assert harness.evacuated == {'one'}
    assert not harness.known
    assert harness.holder.version == 7
    assert harness.holder.proof_age_ms(0) is None
    harness.answer_watch({OTHER_ZONE: (15,)}, 20)
    assert harness.evacuated == {'one', 'two'}
    assert harness.known == [True]


def test_another_instance_tells_before_the_watch():
    """The change is then neither logged nor sent again."""
    harness = make_harness()
    record = Evacuation('two', make_position(1, 11), is_evacuated=True)
    harness.receive(record)
    assert harness.evacuated == {'one', 'two'}
    sent = harness.sent
    harness.answer_watch({OTHER_ZONE: (11,)}, 11)
    assert harness.sent == sent
    assert harness.evacuated == {'one', 'two'}


@pytest.mark.parametrize('knows', [True, False])
def test_instance_that_starts_without_the_store_learns_from_others(knows):
    """Only another instance that knows the evacuations makes them known."""
    harness = Harness()
    harness.call.answer({}, 1, 503)
    record = Evacuation('one', make_position(1, 5), is_evacuated=True)
    message = harness.receive(record, knows=knows)
    assert harness.evacuated == {'one'}
    assert len(harness.known) == knows
    assert harness.control.accepts_proof(message) == knows
    assert harness.evacuations.excludes('two') != knows


def test_proof_counts_without_evacuations_if_they_are_not_read():
    harness = Harness()
    harness.evacuations.is_enabled = False
    record = Evacuation('one', 5, is_evacuated=True)
    message = harness.receive(record, knows=False)
    assert harness.control.accepts_proof(message)
    assert not harness.evacuated


@pytest.mark.parametrize('key', ['op/evacuate', 'op/evacuated/one', 'op/other'])
def test_other_keys_of_the_operator_are_ignored(key):
    harness = make_harness()
    harness.answer_watch({key: (11,)}, 11)
    assert harness.evacuated == {'one'}
