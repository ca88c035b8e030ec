"""Tests of the port allocation."""

import socket
from itertools import chain
from pathlib import Path

import pytest

from crankchute.standins.ports import (
    LOOPBACK,
    PortRange,
    PortsExhaustedError,
    pick_ports,
)

_EPHEMERAL_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


def test_ports_are_below_the_ephemeral_range():
    """Outgoing connections cannot take a port that was picked."""
    first_ephemeral_port = int(
        _EPHEMERAL_RANGE.read_text(encoding='ascii').split()[0]
    )
    assert max(pick_ports(50)) < first_ephemeral_port


def test_consecutive_calls_return_different_ports():
    """Consecutive calls return disjoint ports."""
    assert not set(pick_ports(50)) & set(pick_ports(50))


def test_parallel_runs_pick_the_same_port():
    ranges = [PortRange() for _ in range(2)]
    first, second = (one.pick(300) for one in ranges)
    assert not set(first) & set(second)


def test_search_for_a_free_port_does_not_end():
    ports = PortRange()
    with pytest.raises(PortsExhaustedError):
        ports.pick(10_000)


def serve_and_close(port):
    """Accept a connection and close it from the side of the server."""
    with socket.create_server((LOOPBACK, port)) as listener:
        caller = socket.create_connection((LOOPBACK, port))
        listener.accept()[0].close()
        caller.close()


def test_ports_of_closed_servers_are_not_picked_again():
    """Their connections close for a minute."""
    ports = PortRange()
    count = 700
    for port in ports.pick(count):
        serve_and_close(port)
    assert len(ports.pick(count)) == count


def test_port_of_an_open_server_is_picked():
    ports = PortRange()
    port = ports.pick(1)[0]
    with socket.create_server((LOOPBACK, port)):
        picked = [ports.pick(250) for _ in range(5)]
    assert port not in chain.from_iterable(picked)
