"""Tests of the assembly of an instance on the platform."""

import socket

import pytest

from crankchute.adapters.loop import Loop
from crankchute.platform.node import PlatformNode
from crankchute.platform.settings import read_settings

_LOOPBACK = '127.0.0.1'


def make_node(limits):
    listeners = {
        name: socket.create_server((_LOOPBACK, 0))
        for name in ('frontend', 'readiness')
    }
    metrics = socket.create_server((_LOOPBACK, 0))
    addresses = {
        name: '{0}:{1}'.format(*sock.getsockname())
        for name, sock in listeners.items()
    }
    settings = read_settings(
        {
            'node-name': 'edge-1',
            'zone': 'z1',
            'internal-port-range': [7340, 7355],
            'listen': {**addresses, 'control': f'{_LOOPBACK}:0'},
            'platform': {'address': f'{_LOOPBACK}:1'},
            'limits': limits,
        }
    )
    settings.listeners.set_metrics_port(metrics.getsockname()[1])
    sockets = {
        sock.getsockname(): sock for sock in (*listeners.values(), metrics)
    }
    return PlatformNode(Loop(), settings, sockets)


@pytest.mark.parametrize(
    ('limits', 'is_enabled'), [({}, False), ({'memory-mb': 200}, True)]
)
def test_send_buffers_are_bounded_only_with_a_memory_limit(limits, is_enabled):
    """Guards against a part that acts on deployments without the setting."""
    platform = make_node(limits)
    servers = platform.http_client.hub.unsent
    callers = platform._server.unsent  # noqa: WPS437
    assert (servers is not None) == is_enabled
    assert (callers is not None) == is_enabled
    rendered = platform.node.metrics.render()
    assert (b'crankchute_unsent_bytes' in rendered) == is_enabled
