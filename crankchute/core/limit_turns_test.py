"""Tests of when an instance may send requests to servers with limits."""

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.limit_desk import LimitDesk

SERVER = 'i-1'
_WINDOW_MS = 4000
_FACTOR = 1.5
_SLACK = 5


class World:
    """An instance that has the whole limit for itself."""

    def __init__(self, holder='entry-0'):
        self.timers = ManualTimers()
        self.desk = LimitDesk(self.timers, 'entry-0', 'boot')
        self.asked_ms = []
        self.sent_ms = []
        self.desk.start(lambda: [holder], lambda _one: False, self.ask)
        self.timers.advance(_WINDOW_MS)

    @property
    def now_ms(self):
        return self.timers.clock.now_ms()

    def ask(self, _server):
        self.asked_ms.append(self.now_ms)
        self.send()

    def send(self):
        self.sent_ms.append(self.now_ms)
        self.desk.turns.note_sent(SERVER)

    def name(self, limit):
        self.desk.words.take(SERVER, limit, self.now_ms)

    def send_all(self, for_ms):
        """Send whatever may be sent, at every moment."""
        for _ in range(for_ms // 10):
            while self.desk.turns.has_turn(SERVER):
                self.send()
            self.timers.advance(10)

    def count_most(self):
        """Return the most that was sent in any window."""
        return max(
            sum(begin <= one < begin + _WINDOW_MS for one in self.sent_ms)
            for begin in self.sent_ms
        )


@pytest.mark.parametrize('limit', [0.25, 0.5, 1, 2.5, 10, 100])
@pytest.mark.parametrize('pause_ms', [0, 500, 3900, 4100, 60_000])
def test_no_window_has_more_than_the_limit_allows(limit, pause_ms):
    """Also after a pause; and nearly all of it is used."""
    world = World()
    world.name(limit)
    world.send_all(12_000)
    world.timers.advance(pause_ms)
    begun = len(world.sent_ms)
    world.send_all(12_000)
    assert world.count_most() <= limit * 4 + max(1, limit * 0.5) + 1
    assert len(world.sent_ms) - begun >= limit * 12 - 1


def test_rise_of_a_limit_brings_no_burst():
    world = World()
    world.name(1)
    world.send_all(8000)
    world.name(4)
    begun = len(world.sent_ms)
    world.send_all(1000)
    assert len(world.sent_ms) - begun <= 5


@pytest.mark.parametrize(('limit', 'wait_ms'), [(2, 500), (0.1, 10_000)])
def test_time_of_the_next_turn_is_told(limit, wait_ms):
    world = World()
    assert not world.desk.turns.wait_ms(SERVER)
    world.name(limit)
    assert not world.desk.turns.wait_ms(SERVER)
    world.send()
    assert world.desk.turns.wait_ms(SERVER) == pytest.approx(wait_ms)


def test_what_is_sent_beyond_the_limit_is_waited_for():
    """But not for longer than it counts at the server."""
    world = World()
    world.name(1)
    for _ in range(3):
        world.send()
    assert world.desk.turns.wait_ms(SERVER) == pytest.approx(3000)
    for _ in range(50):
        world.send()
    for _ in range(5):
        world.timers.advance(1000)
        world.name(1)
    assert world.desk.turns.has_turn(SERVER)


def test_server_that_nobody_is_sent_to_is_asked_now_and_then():
    """So seldom that it takes little, as long as it answers that it goes on."""
    world = World()
    world.name(0)
    world.timers.advance(20_000)
    assert 5 <= len(world.asked_ms) <= 8
    assert world.count_most() <= _SLACK / 2
    world.name(None)
    before = len(world.asked_ms)
    world.timers.advance(20_000)
    assert len(world.asked_ms) == before


def test_server_is_asked_by_others_too_where_nobody_tells_of_it():
    """Whoever should ask may have heard that the limit ended."""
    world = World(holder='entry-1')
    world.name(0)
    world.timers.advance(9000)
    assert not world.asked_ms
    world.timers.advance(2000)
    assert len(world.asked_ms) == 1
    world.name(None)
    world.timers.advance(20_000)
    assert len(world.asked_ms) == 1


def test_server_that_answers_is_not_asked():
    world = World()
    for _ in range(20):
        world.name(2)
        world.timers.advance(1000)
    assert not world.asked_ms


@pytest.mark.parametrize(
    ('limit', 'may_help'),
    [(None, True), (0, False), (1, False), (2, True), (50, True)],
)
def test_server_that_takes_little_helps_nobody(limit, may_help):
    """Setting memory aside there would use up what it takes."""
    world = World()
    if limit is not None:
        world.name(limit)
    assert world.desk.turns.may_help(SERVER) == may_help
