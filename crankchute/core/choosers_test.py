"""Tests of the choice of servers of plain services."""

import random
from collections import Counter

import pytest

from crankchute.core.choosers import LeastBusyChooser
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import make_backends, make_job, make_parts


def make_chooser(backends, connected):
    parts = make_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(1)
    parts.is_connected = lambda backend: backend.identity in connected
    return LeastBusyChooser(parts)


@pytest.mark.parametrize(
    ('in_flight', 'connected', 'chosen'),
    [
        ((0, 0, 0), {'server-01'}, {'server-01'}),
        # A request more is worth a connection.
        ((0, 1, 0), {'server-01'}, {'server-00', 'server-02'}),
        ((1, 1, 1), {'server-02'}, {'server-02'}),
        ((0, 0, 0), (), {'server-00', 'server-01', 'server-02'}),
    ],
)
def test_idle_connections_are_used_again(in_flight, connected, chosen):
    backends = make_backends(3)
    for backend, number in zip(backends, in_flight, strict=True):
        backend.in_flight = number
    chooser = make_chooser(backends, connected)
    found = Counter(
        chooser.choose(make_job(), set()).backend.identity for _ in range(60)
    )
    assert set(found) == chosen
