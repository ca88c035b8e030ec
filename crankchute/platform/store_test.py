"""Tests of watching the store, with a fake client in virtual time."""

import base64

import orjson
import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.errors import BackendError
from crankchute.platform.store import StoreWatch, WatchPace
from crankchute.platform.store_pages import read_page

PREFIX = 'servers/'


class FakeCall:
    """A call that waits for its answer."""

    def __init__(self, path, sink):
        self.path = path
        self.sink = sink
        self.cancelled = False

    def cancel(self):
        self.cancelled = True

    def answer(self, document, status=200):
        self.sink.on_head(status, {})
        self.sink.on_body(orjson.dumps(document))
        self.sink.on_done()


class World:
    """A watch, its calls, and what its listener was told."""

    def __init__(self):
        self.timers = ManualTimers()
        self.http_client = self
        self.settings = self
        self.store = ('127.0.0.1', 1)
        self.calls = []
        self.told = []
        self.retries_ms = (400, 800)
        self.is_needed = True
        self.is_told = False
        self.pace = WatchPace(
            wait_ms=1000,
            is_needed=lambda: self.is_needed,
            pause_ms=0,
            is_told=lambda: self.is_told,
            choose_retries=lambda: self.retries_ms,
        )
        self.watch = StoreWatch(self, PREFIX, self, self.pace)
        self.watch.start()

    def send(self, address, payload, sink, options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.calls[-1]

    def on_entries(self, entries, asked_ms, at):
        self.told.append(('all', [one.key for one in entries], asked_ms, at))

    def on_changes(self, entries, asked_ms):
        changes = [(one.key, one.payload) for one in entries]
        self.told.append(('changed', changes, asked_ms))

    def list_all(self, *keys, at=5, more=False):
        found = [make_item(key) for key in keys]
        document = {'items': found, 'more': more, 'at': at}
        self.calls[-1].answer(document)


def make_item(key):
    payload = base64.b64encode(key.encode()).decode()
    return {'tls-key': key, 'value': payload, 'revision': 1, 'lease': 0}


def test_all_is_read_page_by_page_and_then_watched():
    world = World()
    world.list_all('servers/a', at=5, more=True)
    # Every process reads further pages when it starts, so they are cheap ones.
    assert 'after=servers%2Fa&stale=1' in world.calls[-1].path
    world.list_all('servers/b', at=9)
    assert world.told == [('all', ['servers/a', 'servers/b'], None, 5)]
    # Pages are no snapshot, so changes are asked for from the first one on.
    assert 'after=5&wait-ms=1000' in world.calls[-1].path


def test_changes_are_asked_for_from_the_oldest_page_on():
    world = World()
    world.list_all('servers/a', at=9, more=True)
    world.list_all('servers/b', at=4)
    assert world.told == [('all', ['servers/a', 'servers/b'], None, 4)]
    assert 'after=4&wait-ms=1000' in world.calls[-1].path


def test_single_page_is_read_as_it_is_now():
    world = World()
    assert 'stale' not in world.calls[-1].path
    world.list_all('servers/a', at=9)
    assert world.told == [('all', ['servers/a'], 0, 9)]


def test_changes_are_told_with_the_moment_of_asking():
    world = World()
    world.list_all()
    world.timers.advance(400)
    gone = {'tls-key': 'servers/a', 'revision': 7, 'gone': True}
    events = [make_item('servers/b'), gone]
    world.calls[-1].answer({'events': events, 'at': 7})
    changes = [('servers/b', b'servers/b'), ('servers/a', None)]
    assert world.told[-1] == ('changed', changes, 0)
    world.calls[-1].answer({'events': [], 'at': 7})
    assert world.told[-1] == ('changed', [], 400)


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
def test_failed_watch_goes_on_where_it_was(fail):
    world = World()
    world.list_all(at=5)
    before = len(world.told)
    fail(world.calls[-1])
    assert world.watch.failed_ms == 0
    world.timers.advance(300)
    assert 'after=5' in world.calls[-1].path
    assert len(world.told) == before


def test_watch_that_hangs_is_given_up():
    world = World()
    world.list_all(at=5)
    hung = world.calls[-1]
    world.timers.advance(2500)
    assert hung.cancelled
    assert 'after=5' in world.calls[-1].path


def test_lost_history_is_read_anew():
    world = World()
    world.list_all('servers/a')
    world.calls[-1].answer({}, status=410)
    assert 'kv-range' in world.calls[-1].path
    world.list_all('servers/b')
    assert world.told[-1][:2] == ('all', ['servers/b'])


def test_refresh_asks_anew():
    world = World()
    world.list_all(at=5)
    first = world.calls[-1]
    world.watch.refresh()
    assert first.cancelled
    assert 'after=5&wait-ms=1000' in world.calls[-1].path


def test_watch_rests_while_others_tell_what_it_would():
    world = World()
    world.list_all(at=5)
    world.is_needed = False
    world.calls[-1].answer({'events': [], 'at': 6})
    calls = len(world.calls)
    world.timers.advance(5000)
    world.watch.resume(9)
    assert len(world.calls) == calls
    world.is_needed = True
    world.watch.resume(9)
    # What the others told of is not asked for again.
    assert 'after=9&wait-ms=1000' in world.calls[-1].path
    world.watch.resume(12)
    assert len(world.calls) == calls + 1


def test_watch_that_fails_rests_once_others_tell():
    world = World()
    world.list_all(at=5)
    world.calls[-1].answer({}, status=503)
    world.is_needed = False
    calls = len(world.calls)
    world.timers.advance(5000)
    assert len(world.calls) == calls


@pytest.mark.parametrize(
    ('retries_ms', 'most'),
    [((400, 800), 16), ((400, 3000), 8), ((1500, 3000), 6)],
)
def test_calls_that_fail_come_ever_more_seldom(retries_ms, most):
    world = World()
    world.retries_ms = retries_ms
    world.list_all(at=5)
    before = len(world.calls)
    for _ in range(1200):
        if not world.calls[-1].cancelled:
            world.calls[-1].cancelled = True
            world.calls[-1].answer({}, status=503)
        world.timers.advance(10)
    assert len(world.calls) - before <= most


def test_single_failure_is_no_outage():
    """The store may have closed a connection that rested.

    An instance that waited for 1.5 s then did not have a version in force
    2.46 s after it was acknowledged, where 2 s are allowed.
    """
    world = World()
    world.retries_ms = (1500, 3000)
    world.list_all(at=5)
    world.calls[-1].sink.on_error(BackendError('closed', sent=True))
    world.timers.advance(250)
    assert 'after=5' in world.calls[-1].path
    assert len(world.calls) == 3


def test_first_read_is_tried_again_soon():
    """Whoever knows nothing yet does not wait as long as others."""
    world = World()
    world.retries_ms = (1500, 3000)
    for tries in (2, 3, 4):
        world.calls[-1].answer({}, status=503)
        world.timers.advance(810)
        assert len(world.calls) == tries


def test_first_read_that_failed_is_not_needed_once_others_told():
    world = World()
    world.calls[-1].answer({}, status=503)
    world.is_told = True
    world.is_needed = False
    world.timers.advance(5000)
    assert len(world.calls) == 1
    world.watch.resume(9)
    assert len(world.calls) == 1
    world.is_needed = True
    world.watch.resume(9)
    # A list of its own was never read, so all of it is.
    assert 'kv-range' in world.calls[-1].path


def test_regained_store_is_told_once():
    world = World()
    regained = []
    world.watch.on_regained = lambda: regained.append(1)
    world.list_all()
    world.calls[-1].answer({}, status=503)
    world.timers.advance(300)
    world.calls[-1].answer({'events': [], 'at': 5})
    world.calls[-1].answer({'events': [], 'at': 5})
    assert regained == [1]


def test_changes_that_come_together_are_one_call():
    """Only a change is followed by a pause; nothing in it is missed."""
    world = World()
    world.pace.pause_ms = 700
    world.list_all(at=5)
    events = [make_item('servers/b')]
    world.calls[-1].answer({'events': events, 'at': 7})
    calls = len(world.calls)
    world.timers.advance(600)
    assert len(world.calls) == calls
    world.timers.advance(200)
    assert 'after=7' in world.calls[-1].path
    world.calls[-1].answer({'events': [], 'at': 9})
    assert 'after=9' in world.calls[-1].path


@pytest.mark.parametrize(
    'spoiled',
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
def test_item_that_cannot_be_read_hides_no_other(spoiled):
    found = [
        {'tls-key': 'servers/a', 'revision': 3, **spoiled},
        {'tls-key': 'servers/b', 'revision': 4, 'value': 'YQ=='},
    ]
    page = read_page(orjson.dumps({'items': found, 'at': 5}))
    assert [one.key for one in page.entries] == ['servers/a', 'servers/b']
    assert page.entries[1].payload == b'a'
    assert page.entries[0].payload is not None
