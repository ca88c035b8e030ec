"""Tests of a request under which servers end, wherever it comes.

A request ended the process of each engine that began to run it.  Every instance
took each of its submissions for a new request: the end was put to the engine's
account alone, and the request went to the next one, again and again.  In the
log of one instance, 165 ms apart, before the caller was told to try again:

    attempt_end server=i-73a5313c7e cause=the connection was closed first_ms=None
    attempt_end server=i-7dd1240e8c cause=the connection was closed first_ms=None

Two more engines ended at the instance to which the caller came next, and so on
for half a minute: 20 ends of engines by the first such request and 29 by the
second, with the answers of thirteen other prompts broken off within 1.2 s.

Whole instances run here on one loop, with engines that speak the wire.
"""

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.platform.standin_world import StandinWorld

#: Within this time all instances know what one of them learnt (the users' rule).
_CONTACT_MS = 3000
#: So many more servers such a request may reach after that (the same rule).
_MOST_AFTER = 3
_ENDS = b'ends what runs it'
_SOUND = b'sound'


class World(StandinWorld):
    """Instances, and engines that end under one kind of request."""

    @property
    def ended(self):
        """How many engines have ended."""
        return sum(not one.is_up for one in self.engines)

    def start_engine(self):
        """Start an engine that ends under such a request."""
        engine = super().start_engine()
        engine.ends_on.add(_ENDS)
        return engine

    def end_three(self, **fields):
        """Submit the request until three engines have ended; tell others."""
        turn = 0
        while self.ended < 3:
            self.ask(self.nodes[turn % 2], _ENDS, **fields)
            turn += 1
        self.wait(_CONTACT_MS)


@pytest.mark.parametrize(
    'fields',
    [
        {'repeat': RetryMode.RESUME},
        {'repeat': RetryMode.AGAIN, 'is_stream': False},
        {'repeat': RetryMode.ONCE},
    ],
)
def test_request_that_ended_three_servers_is_held_everywhere(fields):
    """Also at an instance that has just started, and at the one asked least."""
    world = World()
    world.end_three(**fields)
    before = world.ended
    late = world.start_instance()
    world.wait(_CONTACT_MS)
    for node in (*world.nodes, late):
        for _ in range(2):
            world.ask(node, _ENDS, **fields)
    assert world.ended - before <= _MOST_AFTER
    assert world.ask(world.nodes[2], _ENDS, **fields) == (
        'refused',
        Outcome.NOT_RUN,
    )
    assert world.ask(world.nodes[2], _SOUND) == ('end', None)
