"""Tests of watching the store, with a fake client and manual timers."""

import base64

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.errors import BackendError
from crankchute.platform.store import StoreWatch, WatchPolicy
from crankchute.platform.store_pages import decode_page

PREFIX = 'servers/'


class FakeCall:
    """A pending call."""

    def __init__(self, path, sink):
        self.path = path
        self.sink = sink
        self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def answer(self, document, status=200, era=None):
        headers = {} if era is None else {'store-era': str(era)}
        self.sink.on_head(status, headers)
        self.sink.on_body(orjson.dumps(document))
        self.sink.on_done()


class Harness:
    """A watch with a fake client, and the events of its listener."""

    def __init__(self):
        self.timers = ManualTimers()
        self.http_client = self
        self.settings = self
        self.store = ('127.0.0.1', 1)
        self.calls = []
        self.events = []
        self.retry_delays = (400, 800)
        self.is_needed = True
        self.is_fresh = False
        self.policy = WatchPolicy(
            wait_ms=1000,
            is_needed=lambda: self.is_needed,
            batch_ms=0,
            is_fresh=lambda: self.is_fresh,
            choose_retry_delays=lambda: self.retry_delays,
        )
        self.watch = StoreWatch(self, PREFIX, self, self.policy)
        self.watch.start()

    def send(self, address, payload, sink, options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.calls[-1]

    def on_entries(self, entries, sent_ms, position):
        self.events.append(
            ('all', [one.key for one in entries], sent_ms, position),
        )

    def on_changes(self, entries, sent_ms):
        changes = [(one.key, one.payload) for one in entries]
        self.events.append(('changed', changes, sent_ms))

    def answer_read(self, *keys, at=5, more=False):
        listed = [make_entry(key) for key in keys]
        document = {'items': listed, 'more': more, 'at': at}
        self.calls[-1].answer(document)


def make_entry(key):
    payload = base64.b64encode(key.encode()).decode()
    return {'tls-key': key, 'value': payload, 'revision': 1, 'lease': 0}


def test_pages_are_read_before_the_watch():
    harness = Harness()
    harness.answer_read('servers/a', at=5, more=True)
    # Later pages are stale reads, which cost the store less.
    assert 'after=servers%2Fa&stale=1' in harness.calls[-1].path
    harness.answer_read('servers/b', at=9)
    assert harness.events == [('all', ['servers/a', 'servers/b'], None, 5)]
    # Pages are not one snapshot, so the watch starts at the oldest position.
    assert 'after=5&wait-ms=1000' in harness.calls[-1].path


def test_watch_starts_at_the_oldest_page():
    harness = Harness()
    harness.answer_read('servers/a', at=9, more=True)
    harness.answer_read('servers/b', at=4)
    assert harness.events == [('all', ['servers/a', 'servers/b'], None, 4)]
    assert 'after=4&wait-ms=1000' in harness.calls[-1].path


def test_single_page_is_not_a_stale_read():
    harness = Harness()
    assert 'stale' not in harness.calls[-1].path
    harness.answer_read('servers/a', at=9)
    assert harness.events == [('all', ['servers/a'], 0, 9)]


def test_changes_carry_the_time_of_sending():
    harness = Harness()
    harness.answer_read()
    harness.timers.advance(400)
    gone = {'tls-key': 'servers/a', 'revision': 7, 'gone': True}
    events = [make_entry('servers/b'), gone]
    harness.calls[-1].answer({'events': events, 'at': 7})
    changes = [('servers/b', b'servers/b'), ('servers/a', None)]
    assert harness.events[-1] == ('changed', changes, 0)
    harness.calls[-1].answer({'events': [], 'at': 7})
    assert harness.events[-1] == ('changed', [], 400)


@pytest.mark.parametrize(
    'fail',
    [
        lambda call: call.answer({}, status=503),
        lambda call: call.answer({}, status=429),
        lambda call: call.answer({'events': 5, 'at': 1}),
        lambda call: call.answer([]),
        lambda call: call.sink.on_error(BackendError('lost', sent=True)),
    ],
)
def test_failed_watch_continues_at_its_position(fail):
    harness = Harness()
    harness.answer_read(at=5)
    before = len(harness.events)
    fail(harness.calls[-1])
    assert harness.watch.last_failure_ms == 0
    harness.timers.advance(300)
    assert 'after=5' in harness.calls[-1].path
    assert len(harness.events) == before


def test_unanswered_watch_times_out():
    harness = Harness()
    harness.answer_read(at=5)
    pending = harness.calls[-1]
    harness.timers.advance(2500)
    assert pending.cancelled
    assert 'after=5' in harness.calls[-1].path


def test_compacted_history_is_read_again():
    harness = Harness()
    harness.answer_read('servers/a')
    harness.calls[-1].answer({}, status=410)
    assert 'kv-range' in harness.calls[-1].path
    harness.answer_read('servers/b')
    assert harness.events[-1][:2] == ('all', ['servers/b'])


def test_pages_read_after_a_loss_of_history_are_stale():
    """Their changes are in no history, so the watch would be refused again."""
    harness = Harness()
    harness.answer_read('servers/a', at=5, more=True)
    harness.answer_read('servers/b', at=2)
    harness.timers.advance(70)
    harness.calls[-1].answer({}, status=410)
    harness.answer_read('servers/a', at=9, more=True)
    assert 'stale' not in harness.calls[-1].path
    harness.timers.advance(10)
    harness.answer_read('servers/b', at=10)
    # The first page was requested last when nothing was older.
    assert harness.events[-1] == ('all', ['servers/a', 'servers/b'], 70, 9)
    assert 'after=9&' in harness.calls[-1].path


@pytest.mark.parametrize('is_restored', [False, True])
@pytest.mark.parametrize(
    ('retry_delays', 'most'), [((400, 800), 25), ((1500, 3000), 12)]
)
def test_store_that_refuses_each_watch_is_called_without_a_pause(
    is_restored, retry_delays, most
):
    """The history or the era of each read is gone when it is watched."""
    harness = Harness()
    harness.retry_delays = retry_delays
    answered = None
    while harness.timers.clock.now_ms() < 8000 and len(harness.calls) < 100:
        call = harness.calls[-1]
        if call is answered:
            harness.timers.advance(10)
        elif 'kv-range' in call.path:
            harness.answer_read('servers/a', at=5)
        elif is_restored:
            call.answer({'events': [], 'at': 5}, era=len(harness.calls))
        else:
            call.answer({}, status=410)
        answered = call
    assert len(harness.calls) <= most


def test_refresh_replaces_the_pending_call():
    harness = Harness()
    harness.answer_read(at=5)
    first = harness.calls[-1]
    harness.watch.refresh()
    assert first.cancelled
    assert 'after=5&wait-ms=1000' in harness.calls[-1].path


def test_watch_is_idle_while_not_needed():
    harness = Harness()
    harness.answer_read(at=5)
    harness.is_needed = False
    harness.calls[-1].answer({'events': [], 'at': 6})
    calls = len(harness.calls)
    harness.timers.advance(5000)
    harness.watch.resume(9)
    assert len(harness.calls) == calls
    harness.is_needed = True
    harness.watch.resume(9)
    # Changes known from other instances are not requested again.
    assert 'after=9&wait-ms=1000' in harness.calls[-1].path
    harness.watch.resume(12)
    assert len(harness.calls) == calls + 1


def test_failing_watch_is_idle_once_not_needed():
    harness = Harness()
    harness.answer_read(at=5)
    harness.calls[-1].answer({}, status=503)
    harness.is_needed = False
    calls = len(harness.calls)
    harness.timers.advance(5000)
    assert len(harness.calls) == calls


@pytest.mark.parametrize(
    ('retry_delays', 'most'),
    [((400, 800), 16), ((400, 3000), 8), ((1500, 3000), 6)],
)
def test_failing_calls_back_off(retry_delays, most):
    harness = Harness()
    harness.retry_delays = retry_delays
    harness.answer_read(at=5)
    before = len(harness.calls)
    for _ in range(1200):
        if not harness.calls[-1].cancelled:
            harness.calls[-1].cancelled = True
            harness.calls[-1].answer({}, status=503)
        harness.timers.advance(10)
    assert len(harness.calls) - before <= most


def test_single_failure_is_retried_at_once():
    """A closed idle connection must not delay a new configuration."""
    harness = Harness()
    harness.retry_delays = (1500, 3000)
    harness.answer_read(at=5)
    harness.calls[-1].sink.on_error(BackendError('closed', sent=True))
    harness.timers.advance(250)
    assert 'after=5' in harness.calls[-1].path
    assert len(harness.calls) == 3


def test_first_read_is_retried_early():
    """An instance without data must not use the long retry delays."""
    harness = Harness()
    harness.retry_delays = (1500, 3000)
    for attempts in (2, 3, 4):
        harness.calls[-1].answer({}, status=503)
        harness.timers.advance(810)
        assert len(harness.calls) == attempts


def test_failed_first_read_is_dropped_if_data_is_fresh():
    harness = Harness()
    harness.calls[-1].answer({}, status=503)
    harness.is_fresh = True
    harness.is_needed = False
    harness.timers.advance(5000)
    assert len(harness.calls) == 1
    harness.watch.resume(9)
    assert len(harness.calls) == 1
    harness.is_needed = True
    harness.watch.resume(9)
    # Nothing was read before, so the whole list is.
    assert 'kv-range' in harness.calls[-1].path


def test_recovery_is_signalled_once():
    harness = Harness()
    recovered = []
    harness.watch.on_recovered = lambda: recovered.append(1)
    harness.answer_read()
    harness.calls[-1].answer({}, status=503)
    harness.timers.advance(300)
    harness.calls[-1].answer({'events': [], 'at': 5})
    harness.calls[-1].answer({'events': [], 'at': 5})
    assert recovered == [1]


def test_changes_are_batched():
    """A response with changes delays the next call, which misses nothing."""
    harness = Harness()
    harness.policy.batch_ms = 700
    harness.answer_read(at=5)
    events = [make_entry('servers/b')]
    harness.calls[-1].answer({'events': events, 'at': 7})
    calls = len(harness.calls)
    harness.timers.advance(600)
    assert len(harness.calls) == calls
    harness.timers.advance(200)
    assert 'after=7' in harness.calls[-1].path
    harness.calls[-1].answer({'events': [], 'at': 9})
    assert 'after=9' in harness.calls[-1].path


@pytest.mark.parametrize(
    'malformed',
    [
        {},
        {'value': None},
        {'value': 7},
        {'value': ['a']},
        {'value': 'not base64!'},
        {'value': 'YQ='},
        {'value': '\u00fc'},
    ],
)
def test_malformed_entry_does_not_affect_others(malformed):
    listed = [
        {'tls-key': 'servers/a', 'revision': 3, **malformed},
        {'tls-key': 'servers/b', 'revision': 4, 'value': 'YQ=='},
    ]
    page = decode_page(orjson.dumps({'items': listed, 'at': 5}))
    assert [one.key for one in page.entries] == ['servers/a', 'servers/b']
    assert page.entries[1].payload == b'a'
    assert page.entries[0].payload is not None
