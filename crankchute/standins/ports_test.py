"""Tests of how runs side by side get their ports."""

from pathlib import Path

from crankchute.standins.ports import pick_ports

_RANGE = Path('/proc/sys/net/ipv4/ip_local_port_range')


def test_ports_are_below_those_of_outgoing_connections():
    """No outgoing connection can take a port that was picked."""
    lowest = int(_RANGE.read_text(encoding='ascii').split()[0])
    assert max(pick_ports(50)) < lowest


def test_ports_are_not_picked_again_soon():
    """A port of one cluster is not given to the next."""
    assert not set(pick_ports(50)) & set(pick_ports(50))
