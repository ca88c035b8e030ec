"""Tests that a request that crashes servers is not sent to further ones.

Without this, each retry and each new submission crashes another engine, which
also breaks off the responses of other requests.
"""

import pytest

from crankchute.core.forward_job import RetryMode
from crankchute.core.outcomes import Outcome
from crankchute.platform.standin_world import StandinWorld

#: A required limit: the time until all instances know what one has learnt.
_PROPAGATION_MS = 3000
#: A required limit: how many more servers may crash after that time.
_MAX_FURTHER_CRASHES = 3
_CRASHING_BODY = b'ends what runs it'
_HARMLESS_BODY = b'sound'


class CrashingCluster(StandinWorld):
    """Instances, and engines that crash on one kind of request."""

    @property
    def crash_count(self):
        """How many engines have crashed, an int."""
        return sum(not engine.is_up for engine in self.engines)

    def start_engine(self):
        """Start an engine that crashes on requests with the crashing body."""
        engine = super().start_engine()
        engine.ends_on.add(_CRASHING_BODY)
        return engine

    def crash_three_engines(self, **fields):
        """Submit the request until three engines have crashed.

        Afterwards wait until the other instances know.
        """
        turn = 0
        while self.crash_count < 3:
            self.ask(self.nodes[turn % 2], _CRASHING_BODY, **fields)
            turn += 1
        self.wait(_PROPAGATION_MS)


@pytest.mark.parametrize(
    'fields',
    [
        {'repeat': RetryMode.RESUME},
        {'repeat': RetryMode.AGAIN, 'is_stream': False},
        {'repeat': RetryMode.ONCE},
    ],
)
def test_request_that_crashed_three_servers_is_refused_by_all_instances(fields):
    """This includes instances that start later or got no such request."""
    cluster = CrashingCluster()
    cluster.crash_three_engines(**fields)
    before = cluster.crash_count
    new_node = cluster.start_instance()
    cluster.wait(_PROPAGATION_MS)
    for node in (*cluster.nodes, new_node):
        for _ in range(2):
            cluster.ask(node, _CRASHING_BODY, **fields)
    assert cluster.crash_count - before <= _MAX_FURTHER_CRASHES
    assert cluster.ask(cluster.nodes[2], _CRASHING_BODY, **fields) == (
        'refused',
        Outcome.NOT_RUN,
    )
    assert cluster.ask(cluster.nodes[2], _HARMLESS_BODY) == ('end', None)
