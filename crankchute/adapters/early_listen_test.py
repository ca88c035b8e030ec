"""Tests of sockets that are open before a process is ready."""

import socket

import pytest

from crankchute.adapters.early_listen import listen_on

_LOOPBACK = '127.0.0.1'


def find_ports(count):
    opened = [socket.create_server((_LOOPBACK, 0)) for _ in range(count)]
    addresses = [sock.getsockname() for sock in opened]
    for sock in opened:
        sock.close()
    return addresses


def test_callers_can_connect_before_anybody_accepts():
    addresses = find_ports(2)
    sockets = listen_on(addresses)
    assert set(sockets) == set(addresses)
    for address in addresses:
        socket.create_connection(address).close()
    for sock in sockets.values():
        assert not sock.getblocking()
        sock.close()


def test_taken_address_is_named_and_the_others_closed():
    free, taken = find_ports(2)
    with socket.create_server(taken):
        with pytest.raises(OSError, match=str(taken[1])):
            listen_on([free, taken])
    socket.create_server(free).close()
