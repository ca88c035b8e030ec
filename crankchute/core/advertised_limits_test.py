"""Tests of which report of a server's limit counts."""

import copy

import pytest

from crankchute.core.advertised_limits import AdvertisedLimit, AdvertisedLimits
from crankchute.core.fakes import ManualTimers

SERVER = 'i-1'


class World:
    """The server limits known at one instance."""

    def __init__(self):
        self.timers = ManualTimers()
        self.limits = AdvertisedLimits(self.timers.clock, 'entry-0')
        self.notified_ms = []
        self.limits.subscribe(lambda: self.notified_ms.append(self.now_ms))

    @property
    def now_ms(self):
        return self.timers.clock.now_ms()

    def go_to(self, at_ms):
        self.timers.advance(at_ms - self.now_ms)


@pytest.mark.parametrize(
    ('answers', 'limit'),
    [
        # Triples of arrival time, send time of the request, and limit.
        ([(100, 90, None)], None),
        ([(100, 90, 3)], 3),
        ([(100, 90, 0)], 0),
        # Request sent after the limit was known: the answer is later.
        ([(100, 90, 3), (120, 110, None)], None),
        ([(100, 90, 3), (120, 110, 5)], 5),
        ([(100, 90, 3), (120, 110, 2)], 2),
        # Request sent before the limit was known: the answer may be earlier.
        ([(100, 90, 3), (120, 80, None)], 3),
        ([(100, 90, 3), (120, 80, 5)], 3),
        ([(100, 90, 3), (120, 80, 2)], 2),
        # An answer without a limit ends it; a later one may start it again.
        ([(100, 90, 0), (120, 110, None), (140, 130, 4)], 4),
        ([(100, 90, 4), (120, 110, None), (140, 80, 4)], 4),
        # Repeated answers renew the limit.
        ([(100, 90, 3), (500, 490, 3), (510, 400, None)], 3),
        ([(100, 90, 3), (500, 490, 3), (530, 510, None)], None),
        # The limit changes with each answer.
        ([(100, 90, 3), (120, 110, 1), (140, 130, 8), (160, 150, 2)], 2),
    ],
)
def test_out_of_order_answer_does_not_loosen_the_limit(answers, limit):
    world = World()
    for at_ms, sent_ms, named in answers:
        world.go_to(at_ms)
        world.limits.receive_answer(SERVER, named, sent_ms)
    assert world.limits.limit_of(SERVER) == limit


@pytest.mark.parametrize(
    ('known', 'received', 'limit'),
    [
        # The known and the received report, as pairs of limit and time.
        (None, (3, 100), 3),
        (None, (None, 100), None),
        ((3, 100), (1, 200), 1),
        ((3, 100), (1, 50), 3),
        # A looser limit must be newer by more than the message delay.
        ((3, 100), (None, 200), 3),
        ((3, 100), (None, 900), None),
        ((3, 100), (8, 200), 3),
        ((3, 100), (8, 900), 8),
        ((None, 100), (2, 200), 2),
        ((None, 500), (2, 200), None),
    ],
)
def test_newer_report_of_another_instance_counts(known, received, limit):
    world = World()
    world.go_to(1000)
    for source, report in (('a', known), ('b', received)):
        if report is not None:
            world.limits.merge_updates(
                [AdvertisedLimit(SERVER, *report, source)]
            )
    assert world.limits.limit_of(SERVER) == limit


def test_repeated_report_keeps_its_first_time():
    """A delayed copy must not override newer reports."""
    world = World()
    world.limits.merge_updates([AdvertisedLimit(SERVER, 3, 100, 'a-1')])
    world.limits.merge_updates([AdvertisedLimit(SERVER, 3, 5000, 'a-1')])
    world.limits.merge_updates([AdvertisedLimit(SERVER, None, 1000, 'b-1')])
    assert world.limits.limit_of(SERVER) is None


@pytest.mark.parametrize(
    ('limits', 'notified_ms'),
    [
        ([(100, 3)], [100]),
        ([(100, 3), (200, 3)], [100]),
        ([(100, 3), (200, 4)], [100, 200]),
        ([(100, 3), (200, None)], [100, 200]),
        ([(100, 3), (1200, 3)], [100]),
        ([(100, None)], []),
    ],
)
def test_only_changes_are_sent_without_delay(limits, notified_ms):
    """An unchanged limit is sent with the next message."""
    world = World()
    for at_ms, limit in limits:
        world.go_to(at_ms)
        world.limits.receive_answer(SERVER, limit, at_ms)
    assert world.notified_ms == notified_ms


def test_only_the_newest_reports_are_sent():
    """The size of a message is bounded however many servers name limits."""
    world = World()
    for number in range(100):
        world.limits.receive_answer(f'i-{number}', 1, 0)
        world.timers.advance(10)
    servers = {one.server for one in world.limits.list_updates()}
    assert servers == {f'i-{number}' for number in range(36, 100)}
    world.timers.advance(5000)
    assert not world.limits.list_updates()


def test_unchanged_limit_is_renewed():
    """Other instances must learn when it was last named."""
    world = World()
    sources = set()
    for at_ms in range(0, 5000, 400):
        world.go_to(at_ms)
        world.limits.receive_answer(SERVER, 3, at_ms)
        sent = world.limits.list_updates()[0]
        assert sent.at_ms == at_ms
        sources.add(sent.source)
    assert 4 <= len(sources) <= 5


def test_end_of_a_limit_reaches_other_instances_of_a_busy_server():
    """The last report of the limit and the first without it are close in time.

    A receiver cannot tell which of the two is newer until the second is renewed.
    """
    receiver = World()
    sender = World()
    for at_ms in range(0, 8000, 20):
        receiver.go_to(at_ms)
        sender.go_to(at_ms)
        limit = 50 if at_ms < 1300 else None
        sender.limits.receive_answer(SERVER, limit, at_ms - 1)
        if not at_ms % 240:
            receiver.limits.merge_updates(
                copy.deepcopy(sender.limits.list_updates())
            )
        if at_ms == 1200:
            assert receiver.limits.limit_of(SERVER) == 50
    assert sender.limits.limit_of(SERVER) is None
    assert receiver.limits.limit_of(SERVER) is None
