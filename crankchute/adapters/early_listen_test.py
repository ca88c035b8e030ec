"""Tests of listening sockets that are opened at startup."""

import socket

import pytest

from crankchute.adapters.early_listen import listen_on

_LOOPBACK = '127.0.0.1'


def find_free_addresses(count):
    opened = [socket.create_server((_LOOPBACK, 0)) for _ in range(count)]
    addresses = [sock.getsockname() for sock in opened]
    for sock in opened:
        sock.close()
    return addresses


def test_clients_connect_before_accept_is_called():
    addresses = find_free_addresses(2)
    sockets = listen_on(addresses)
    assert set(sockets) == set(addresses)
    for address in addresses:
        socket.create_connection(address).close()
    for sock in sockets.values():
        assert not sock.getblocking()
        sock.close()


def test_error_names_the_address_in_use_and_closes_the_rest():
    free, taken = find_free_addresses(2)
    with socket.create_server(taken):
        with pytest.raises(OSError, match=str(taken[1])):
            listen_on([free, taken])
    socket.create_server(free).close()
