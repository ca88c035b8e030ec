"""Tests of an instance on the platform, with a fake client of the store."""

import base64

import pytest

from crankchute.adapters.early_listen import listen_on
from crankchute.adapters.loop import Loop
from crankchute.platform import node as node_module
from crankchute.platform.node import PlatformNode
from crankchute.platform.published_test import write_server
from crankchute.platform.settings import read_settings
from crankchute.platform.store_era_test import FakeCall, write_config
from crankchute.standins.ports import LOOPBACK, pick_ports

_POSITION = 20
_RANGE = '/api/kv-range?path-prefix='
_WATCH = '/api/kv-watch?path-prefix='


class FakeClient:
    """An HTTP client whose calls a test answers."""

    def __init__(self, **_fields):
        self.calls = []

    def register(self, _loop):
        return self

    def send(self, _address, payload, sink, _options):
        path = payload.split(b' ')[1].decode()
        self.calls.append(FakeCall(path, sink))
        return self.calls[-1]

    def list_paths(self, start):
        """Return the watched or read prefixes, a list."""
        return [
            call.path.removeprefix(start).split('&')[0]
            for call in self.calls
            if call.path.startswith(start)
        ]

    def answer_read(self, prefix, entries):
        """Answer the last read of a prefix; entries maps keys to payloads."""
        listed = [
            {
                'tls-key': key,
                'revision': 5,
                'value': base64.b64encode(payload).decode(),
            }
            for key, payload in entries.items()
        ]
        call = [one for one in self.calls if prefix in one.path][-1]
        document = {'items': listed, 'more': False, 'at': _POSITION}
        call.answer(document, 1)


class Instance:
    """An instance without peers, and its settings."""

    def __init__(self, monkeypatch, bounds):
        monkeypatch.setattr(node_module, 'HttpClient', FakeClient)
        *ports, metrics_port = pick_ports(4)
        callers, readiness, control = (f'{LOOPBACK}:{port}' for port in ports)
        settings = read_settings(
            {
                'node-name': 'edge-1',
                'zone': 'one',
                'zones': {'one': 'r', 'two': 'r'},
                'internal-port-range': [7340, 7355],
                'listen': {
                    'frontend': callers,
                    'readiness': readiness,
                    'control': control,
                },
                'bounds': bounds,
                'platform': {'address': f'{LOOPBACK}:1'},
            }
        )
        settings.listeners.set_metrics_port(metrics_port)
        self.loop = Loop()
        sockets = listen_on(settings.listeners.addresses())
        self.platform = PlatformNode(self.loop, settings, sockets)
        self.node = self.platform.node
        self.client = self.platform.http_client

    def run_for(self, delay_ms):
        elapsed = []
        self.loop.timers.after(delay_ms, lambda: elapsed.append(True))
        self.loop.run_until(lambda: bool(elapsed), 0.001)


@pytest.mark.parametrize(
    ('bounds', 'prefix'),
    [
        ({}, 'op%2Fconfig'),
        ({'config-apply-ms': 3000}, 'op%2Fconfig'),
        ({'evacuate-ms': 5000}, 'op%2F'),
    ],
)
def test_operator_keys_are_read_only_with_the_setting(
    monkeypatch, bounds, prefix
):
    """Other deployments must not read more, and none must call more often."""
    instance = Instance(monkeypatch, bounds)
    client = instance.client
    assert client.list_paths(_RANGE) == ['servers%2F', prefix]
    client.answer_read(f'={prefix}', {'op/config': write_config(7)})
    client.answer_read('=servers', {'servers/a': write_server()})
    assert instance.node.holder.version == 7
    assert instance.node.is_accepting
    instance.run_for(1500)
    assert sorted(client.list_paths(_WATCH)) == [prefix, 'servers%2F']
    assert client.list_paths(_RANGE) == ['servers%2F', prefix]


def test_evacuation_is_in_force_before_the_instance_serves(monkeypatch):
    instance = Instance(monkeypatch, {'evacuate-ms': 5000})
    entries = {'op/config': write_config(7), 'op/evacuate/one': b''}
    instance.client.answer_read('=servers', {'servers/a': write_server()})
    assert not instance.node.is_accepting
    instance.client.answer_read('=op%2F', entries)
    assert instance.node.is_accepting
    assert instance.node.fleet.evacuations.evacuated == {'one'}
    assert not instance.node.fleet.members_of('pool-a')


@pytest.mark.parametrize(
    ('bounds', 'stale_ms'),
    [
        ({'evacuate-ms': 5000}, 3000),
        ({'evacuate-ms': 2500}, 2500),
        ({'evacuate-ms': 2500, 'config-apply-ms': 2200}, 2200),
        ({'config-apply-ms': 2200}, 2200),
    ],
)
def test_store_is_read_in_time_for_the_shorter_bound(
    monkeypatch, bounds, stale_ms
):
    """Without a proof an instance reads the store itself."""
    instance = Instance(monkeypatch, bounds)
    assert instance.platform._stale_ms() == stale_ms
