"""Tests of memory set aside at engines: what is asked, when, and told."""

import pytest

from crankchute.core.forward_fakes import ForwardWorld
from crankchute.core.forward_job import Helper
from crankchute.core.reservations import RELEASE, RESERVE


class Held:
    """A desk at which one ticket is being set aside."""

    def __init__(self):
        self.world = ForwardWorld()
        self.orders = self.world.reservations
        self.told = []
        self.helper = Helper(self.world.backends[1], 'ticket-1', 100)
        self.reservation = self.world.reservation_desk.reserve(
            'r1',
            [self.helper],
            self.told.append,
        )


@pytest.mark.parametrize(
    ('is_done', 'line'),
    [
        (True, ('set aside', [], 40)),
        (False, ('set aside', ['ticket-1'], 40)),
        (None, ('unanswered', RESERVE, 'ticket-1')),
    ],
)
def test_answer_to_a_first_order_is_logged(is_done, line):
    held = Held()
    held.world.timers.advance(40)
    held.orders.answer(is_done)
    assert held.world.journal.memory[0] == line


def test_renewal_without_an_answer_is_logged():
    held = Held()
    held.orders.answer(is_done=True)
    held.world.timers.advance(1300)
    held.orders.answer(None)
    line = ('unanswered', RESERVE, 'ticket-1')
    assert held.world.journal.memory[-1] == line


def test_release_is_logged_with_its_tries():
    held = Held()
    held.orders.answer(is_done=True)
    held.orders.answers_release = False
    held.reservation.release()
    held.orders.answers_release = True
    held.world.timers.advance(400)
    assert held.world.journal.memory[-2:] == [
        ('unanswered', RELEASE, 'ticket-1'),
        ('released', 'ticket-1', 2),
    ]
