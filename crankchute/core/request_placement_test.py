"""Tests of the placement of requests with borrowed permits."""

import pytest

from crankchute.core.choosers import PAUSED_OR_LIMITED
from crankchute.core.forward_job import Placement
from crankchute.core.outcomes import refuse_not_run
from crankchute.core.request_placement import place_request


class World:
    """Stands in for the forwarder, the chooser, the lending and the flow."""

    def __init__(self, choice, server_choice, without_turn=('i-1', 'i-2')):
        self.choice = choice
        self.server_choice = server_choice
        self.without_turn = list(without_turn)
        self.borrow_requests = []
        self.given_back = []
        self.sent = []
        self.chosen = []
        self.lending = self
        self.job = self
        self.pool = 'pool'
        self.ended = False
        self.on_done = None

    def choose(self, _flow, _avoided):
        return self.choice

    def find_chooser(self, _pool):
        return self

    def list_without_permit(self, _avoided):
        return self.without_turn

    def choose_on_server(self, _job, server):
        self.chosen.append(server)
        return self.server_choice

    def record_sent(self, _job, placement):
        self.sent.append(placement)

    def borrow(self, servers, on_done):
        self.borrow_requests.append(servers)
        self.on_done = on_done
        return bool(servers)

    def discard_borrowed(self, server):
        self.given_back.append(server)


PLACEMENT = Placement(None)
LENT_PLACEMENT = Placement(None)
NO_PERMIT = refuse_not_run(PAUSED_OR_LIMITED, 'no turn')
CRASHING = refuse_not_run('crashes_servers', 'servers crashed under it')
OVERLOADED = refuse_not_run('crowded', 'others would be late')


@pytest.mark.parametrize('choice', [PLACEMENT, CRASHING, OVERLOADED])
def test_turn_is_borrowed_only_if_that_is_all_that_is_missing(choice):
    """A request that crashes servers, for instance, borrows no permit."""
    world = World(choice, LENT_PLACEMENT)
    outcomes = []
    place_request(world, world, set(), outcomes.append)
    assert outcomes == [choice]
    assert not world.borrow_requests


def test_refusal_is_immediate_without_servers_to_borrow_for():
    world = World(NO_PERMIT, LENT_PLACEMENT, without_turn=())
    outcomes = []
    place_request(world, world, set(), outcomes.append)
    assert outcomes == [NO_PERMIT]


@pytest.mark.parametrize(
    ('server', 'server_choice', 'ended', 'expected', 'given_back'),
    [
        ('i-2', LENT_PLACEMENT, False, [LENT_PLACEMENT], []),
        (None, LENT_PLACEMENT, False, [NO_PERMIT], [None]),
        # The permit is not kept if the request cannot run there or has ended.
        ('i-2', CRASHING, False, [NO_PERMIT], ['i-2']),
        ('i-2', LENT_PLACEMENT, True, [NO_PERMIT], ['i-2']),
    ],
)
def test_borrowed_turn_is_used_at_its_server_or_given_back(
    server, server_choice, ended, expected, given_back
):
    world = World(NO_PERMIT, server_choice)
    outcomes = []
    place_request(world, world, set(), outcomes.append)
    assert not outcomes
    world.ended = ended
    world.on_done(server)
    assert outcomes == expected
    assert world.given_back == given_back
    assert world.sent == [
        outcome for outcome in outcomes if outcome is LENT_PLACEMENT
    ]
