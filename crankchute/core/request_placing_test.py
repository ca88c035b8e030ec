"""Tests of requests that are placed with the turn of another instance."""

import pytest

from crankchute.core.choosers import NOT_WANTED
from crankchute.core.forward_job import Placement
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.request_placing import place_request


class World:
    """A desk, its chooser and its lending, and the flow that asks."""

    def __init__(self, choice, lent, without_turn=('i-1', 'i-2')):
        self.choice = choice
        self.lent = lent
        self.without_turn = list(without_turn)
        self.asked = []
        self.returned = []
        self.sent = []
        self.chosen = []
        self.lending = self
        self.job = self
        self.pool = 'pool'
        self.ended = False
        self.waiting = None

    def choose(self, _flow, _avoided):
        return self.choice

    def chooser_of(self, _pool):
        return self

    def list_without_turn(self, _avoided):
        return self.without_turn

    def choose_on_server(self, _job, server):
        self.chosen.append(server)
        return self.lent

    def note_sent(self, _job, placement):
        self.sent.append(placement)

    def borrow(self, servers, on_done):
        self.asked.append(servers)
        self.waiting = on_done
        return bool(servers)

    def give_back(self, server):
        self.returned.append(server)


PLACEMENT = Placement(None)
OTHER = Placement(None)
NO_TURN = refuse_not_run(NOT_WANTED, 'no turn')
HELD = refuse_not_run('crashes_servers', 'servers crashed under it')
CROWDED = refuse_not_run('crowded', 'others would be late')


@pytest.mark.parametrize('choice', [PLACEMENT, HELD, CROWDED])
def test_turn_is_asked_for_only_where_that_is_what_is_missing(choice):
    """A request that crashes servers is not sent for a turn."""
    world = World(choice, OTHER)
    seen = []
    place_request(world, world, set(), seen.append)
    assert seen == [choice]
    assert not world.asked


def test_refusal_stands_at_once_where_nobody_has_turns():
    world = World(NO_TURN, OTHER, without_turn=())
    seen = []
    place_request(world, world, set(), seen.append)
    assert seen == [NO_TURN]


@pytest.mark.parametrize(
    ('server', 'lent', 'ended', 'seen', 'returned'),
    [
        ('i-2', OTHER, False, [OTHER], []),
        (None, OTHER, False, [NO_TURN], [None]),
        # It cannot run there, or is over: the turn is not kept for another.
        ('i-2', HELD, False, [NO_TURN], ['i-2']),
        ('i-2', OTHER, True, [NO_TURN], ['i-2']),
    ],
)
def test_lent_turn_is_used_at_its_server_or_given_back(
    server, lent, ended, seen, returned
):
    world = World(NO_TURN, lent)
    told = []
    place_request(world, world, set(), told.append)
    assert not told
    world.ended = ended
    world.waiting(server)
    assert told == seen
    assert world.returned == returned
    assert world.sent == [one for one in told if one is OTHER]
