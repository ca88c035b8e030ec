"""Tests of which word of a server about its limit counts."""

import copy

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.server_limits import LimitWord, ServerLimits

SERVER = 'i-1'


class World:
    """The words that one instance knows."""

    def __init__(self):
        self.timers = ManualTimers()
        self.words = ServerLimits(self.timers.clock, 'entry-0')
        self.told = []
        self.words.subscribe(lambda: self.told.append(self.now_ms))

    @property
    def now_ms(self):
        return self.timers.clock.now_ms()

    def go_to(self, at_ms):
        self.timers.advance(at_ms - self.now_ms)


@pytest.mark.parametrize(
    ('answers', 'limit'),
    [
        # When it came, when it was asked for, what it names.
        ([(100, 90, None)], None),
        ([(100, 90, 3)], 3),
        ([(100, 90, 0)], 0),
        # Asked for after the limit had been heard of: surely later.
        ([(100, 90, 3), (120, 110, None)], None),
        ([(100, 90, 3), (120, 110, 5)], 5),
        ([(100, 90, 3), (120, 110, 2)], 2),
        # Crossed: the server may have given it before.
        ([(100, 90, 3), (120, 80, None)], 3),
        ([(100, 90, 3), (120, 80, 5)], 3),
        ([(100, 90, 3), (120, 80, 2)], 2),
        # The first answer without it ends it, and it may come again.
        ([(100, 90, 0), (120, 110, None), (140, 130, 4)], 4),
        ([(100, 90, 4), (120, 110, None), (140, 80, 4)], 4),
        # It is named again all the time; what was asked for before is older.
        ([(100, 90, 3), (500, 490, 3), (510, 400, None)], 3),
        ([(100, 90, 3), (500, 490, 3), (530, 510, None)], None),
        # It changes with each answer.
        ([(100, 90, 3), (120, 110, 1), (140, 130, 8), (160, 150, 2)], 2),
    ],
)
def test_answers_that_cross_loosen_no_limit(answers, limit):
    world = World()
    for at_ms, sent_ms, named in answers:
        world.go_to(at_ms)
        world.words.take(SERVER, named, sent_ms)
    assert world.words.limit_of(SERVER) == limit


@pytest.mark.parametrize(
    ('known', 'told', 'limit'),
    [
        # What is known and what another one tells: limit, when it was said.
        (None, (3, 100), 3),
        (None, (None, 100), None),
        ((3, 100), (1, 200), 1),
        ((3, 100), (1, 50), 3),
        # What loosens has to be newer for sure.
        ((3, 100), (None, 200), 3),
        ((3, 100), (None, 900), None),
        ((3, 100), (8, 200), 3),
        ((3, 100), (8, 900), 8),
        ((None, 100), (2, 200), 2),
        ((None, 500), (2, 200), None),
    ],
)
def test_newer_word_of_another_instance_counts(known, told, limit):
    world = World()
    world.go_to(1000)
    for source, word in (('a', known), ('b', told)):
        if word is not None:
            world.words.hear([LimitWord(SERVER, *word, source)])
    assert world.words.limit_of(SERVER) == limit


def test_word_that_is_known_does_not_grow_younger_on_its_way():
    """It would override what was said since."""
    world = World()
    world.words.hear([LimitWord(SERVER, 3, 100, 'a-1')])
    world.words.hear([LimitWord(SERVER, 3, 5000, 'a-1')])
    world.words.hear([LimitWord(SERVER, None, 1000, 'b-1')])
    assert world.words.limit_of(SERVER) is None


@pytest.mark.parametrize(
    ('limits', 'told_ms'),
    [
        ([(100, 3)], [100]),
        ([(100, 3), (200, 3)], [100]),
        ([(100, 3), (200, 4)], [100, 200]),
        ([(100, 3), (200, None)], [100, 200]),
        ([(100, 3), (1200, 3)], [100]),
        ([(100, None)], []),
    ],
)
def test_others_are_told_at_once_of_news(limits, told_ms):
    """What goes on they are told with the next message."""
    world = World()
    for at_ms, limit in limits:
        world.go_to(at_ms)
        world.words.take(SERVER, limit, at_ms)
    assert world.told == told_ms


def test_others_are_told_of_the_newest_words_only():
    """So that a message stays small, however many servers name limits."""
    world = World()
    for number in range(100):
        world.words.take(f'i-{number}', 1, 0)
        world.timers.advance(10)
    told = {one.server for one in world.words.tell()}
    assert told == {f'i-{number}' for number in range(36, 100)}
    world.timers.advance(5000)
    assert not world.words.tell()


def test_limit_that_goes_on_is_told_on():
    """Else nobody would know when it was last named."""
    world = World()
    sources = set()
    for at_ms in range(0, 5000, 400):
        world.go_to(at_ms)
        world.words.take(SERVER, 3, at_ms)
        told = world.words.tell()[0]
        assert told.at_ms == at_ms
        sources.add(told.source)
    assert 4 <= len(sources) <= 5


def test_end_of_a_limit_reaches_others_however_busy_the_server_is():
    """Its last word with a limit and its first without it come close together.

    Which of the two is newer nobody can tell who was told of them.
    """
    hearing = World()
    telling = World()
    for at_ms in range(0, 8000, 20):
        hearing.go_to(at_ms)
        telling.go_to(at_ms)
        limit = 50 if at_ms < 1300 else None
        telling.words.take(SERVER, limit, at_ms - 1)
        if not at_ms % 240:
            hearing.words.hear(copy.deepcopy(telling.words.tell()))
        if at_ms == 1200:
            assert hearing.words.limit_of(SERVER) == 50
    assert telling.words.limit_of(SERVER) is None
    assert hearing.words.limit_of(SERVER) is None
