"""Tests of odd entries that another writer left in the store.

They arrive when the store is read, with its watch, or from another instance that
does not check them.  They name no server, and keep nothing from being followed.
"""

import base64

import orjson
import pytest

from crankchute.adapters.peer_records import read_changes, write_changes
from crankchute.core.forward_config import ForwardConfigHolder
from crankchute.core.replica import ChangeSet, Entry
from crankchute.entry.forward_peers import ConfigStore
from crankchute.platform.published import PublishedConfig
from crankchute.platform.published_test import (
    Harness,
    make_entry,
    write_server,
)
from crankchute.platform.store_pages import decode_page
from crankchute.platform.wire import CONFIG_KEY
from crankchute.proto import peer_pb2

_MAX_VALUE_BYTES = 1_048_576
_LONG_MS = 60_000
_HUGE = b'9' * 400
_BACKSLASH = 92


def replace_field(name, text):
    """Return a sound entry with the text of one field replaced."""
    document = orjson.loads(write_server())
    document[name] = '@'
    return orjson.dumps(document).replace(b'"@"', text)


_ODD_PAYLOADS = {  # noqa: WPS407  (a table)
    'nested lists': b'[' * 100_000,
    'nested maps': b'{"a":' * 100_000,
    'nested field': replace_field('zone', b'[' * 5000 + b']' * 5000),
    'closed nesting': b'[' * 1000 + b']' * 1000,
    'largest value': b'x' * _MAX_VALUE_BYTES,
    'largest entry': replace_field('zone', b'"%b"' % (b'z' * 1_000_000)),
    'nothing': b'',
    'null': b'null',
    'number': b'7',
    'text': b'"a"',
    'no text': b'\xff\xfe\x00',
    'NaN': replace_field('cold-remaining-ms', b'NaN'),
    'infinite': replace_field('cold-remaining-ms', b'1e999'),
    'negative': replace_field('cold-remaining-ms', b'-1'),
    'long number': replace_field('cold-remaining-ms', _HUGE),
    'long slots': replace_field('slots', _HUGE),
    'float slots': replace_field('slots', b'1e300'),
    'long sequence': replace_field('sequence', b'1' * 30),
    'long port': replace_field('address', b'"127.0.0.1:%b"' % _HUGE),
    'port out of range': replace_field('address', b'"127.0.0.1:65536"'),
    'negative port': replace_field('address', b'"127.0.0.1:-1"'),
    'port zero': replace_field('address', b'"127.0.0.1:0"'),
    'two ports': replace_field('address', b'"127.0.0.1:1:2"'),
    'no character': replace_field('zone', b'"%cud800"' % _BACKSLASH),
    'born too late': replace_field('state', b'"ready","born":1e300'),
    'born nested': replace_field('state', b'"ready","born":[[]]'),
    'other state': replace_field('state', b'"[[[["'),
}
#: Sound entries with odd values.
_LARGE_VALUES = {  # noqa: WPS407  (a table)
    'cold for ages': replace_field('cold-remaining-ms', b'1e308'),
    'many slots': replace_field('slots', b'18446744073709551615'),
    'last port': replace_field('address', b'"127.0.0.1:65535"'),
    'born in ages': replace_field(
        'state', b'"ready","born":18446744073709551615'
    ),
    'long zone': replace_field('zone', b'"%b"' % (b'z' * 60_000)),
}


def deliver(harness, way, entries, position):
    """Deliver entries, a map from id to revision and payload."""
    if way == 'watch':
        harness.published.on_changes(
            [make_entry(name, *one) for name, one in entries.items()], 100
        )
        return
    if way == 'read':
        known = {'a': (3, write_server()), 'b': (3, write_server()), **entries}
        harness.published.on_entries(
            [make_entry(name, *one) for name, one in known.items()],
            100,
            position,
        )
        return
    changes = ChangeSet(
        5, position, {name: Entry(*one) for name, one in entries.items()}
    )
    harness.published.apply(read_changes(write_changes(changes)))


@pytest.mark.parametrize('way', ['read', 'watch', 'instance'])
@pytest.mark.parametrize('name', list(_ODD_PAYLOADS))
def test_odd_entry_keeps_others_from_being_followed(name, way):
    harness, other = Harness(), Harness()
    odd = (8, _ODD_PAYLOADS[name])
    deliver(harness, way, {'odd': odd, 'c': (7, write_server())}, 8)
    assert harness.members() == {'a', 'b', 'c'}
    deliver(harness, 'watch', {'a': (9, None), 'odd': (10, odd[1])}, 10)
    assert harness.members() == {'b', 'c'}
    harness.timers.advance(_LONG_MS)
    other.published.apply(harness.servers.changes_since(5))
    assert other.members() == {'b', 'c'}


@pytest.mark.parametrize('way', ['read', 'watch', 'instance'])
@pytest.mark.parametrize('name', list(_LARGE_VALUES))
def test_large_value_keeps_others_from_being_followed(name, way):
    harness, other = Harness(), Harness()
    deliver(harness, way, {'large': (8, _LARGE_VALUES[name])}, 8)
    deliver(harness, 'watch', {'a': (9, None)}, 9)
    harness.timers.advance(_LONG_MS)
    other.published.apply(
        read_changes(write_changes(harness.servers.changes_since(5)))
    )
    for one in (harness, other):
        assert {'a', 'b'} & one.members() == {'b'}


@pytest.mark.parametrize('way', ['read', 'watch', 'instance'])
def test_thousands_of_odd_entries_hide_the_sound_ones(way):
    harness, other = Harness(), Harness()
    payloads = (b'[' * 3000, write_server(zone=7), b'')
    odd = {
        f'odd-{number}': (8, payloads[number % len(payloads)])
        for number in range(3000)
    }
    deliver(harness, way, {**odd, 'c': (9, write_server())}, 9)
    deliver(harness, 'watch', {'a': (10, None)}, 10)
    assert harness.members() == {'b', 'c'}
    other.published.apply(harness.servers.changes_since(5))
    assert other.members() == {'b', 'c'}
    # They are not kept as deleted entries either.
    assert len(harness.servers.changes_since(0).entries) < 600


@pytest.mark.parametrize(
    'odd',
    [
        {'value': base64.b64encode(b'[' * 9000).decode()},
        {'value': '[' * 9000},
        {'value': {'a': {}}},
        {'value': 1e300},
        {'value': None},
        {'lease': 1e300, 'made': None, 'value': ''},
    ],
)
@pytest.mark.parametrize('kind', ['items', 'events'])
def test_odd_value_of_a_key_makes_the_page_unreadable(odd, kind):
    listed = [
        {'tls-key': 'servers/odd', 'revision': 3, **odd},
        {'tls-key': 'servers/b', 'revision': 4, 'value': 'YQ=='},
    ]
    page = decode_page(orjson.dumps({kind: listed, 'at': 5}))
    assert page.entries[1].payload == b'a'
    assert page.position == 5


def write_config(**fields):
    route = {
        'name': 'r',
        'host': 'a.example',
        'path-prefix': '/',
        'kind': 'idempotent',
        'service': 'pool',
        'timeout-ms': 1000,
    }
    return {
        'version': 7,
        'routes': [route],
        'services': [{'name': 'pool'}],
        **fields,
    }


_ODD_CONFIGS = {  # noqa: WPS407  (a table)
    **_ODD_PAYLOADS,
    'nested routes': orjson.dumps(write_config(routes=[[[[[]]]]])),
    'huge version': orjson.dumps(write_config(version=1e300)),
    'long version': orjson.dumps(write_config(version=2**64 - 1)),
    'text version': orjson.dumps(write_config(version='9' * 30)),
    'negative version': orjson.dumps(write_config(version=-1)),
    'nested version': orjson.dumps(write_config(version=[[]])),
    'no routes': orjson.dumps(write_config(routes=None)),
    'odd tenants': orjson.dumps(write_config(tenants=[[]])),
    'odd limits': orjson.dumps(write_config(limits=[7])),
    'odd service': orjson.dumps(write_config(services=[{'name': [[]]}])),
}


@pytest.mark.parametrize('name', list(_ODD_CONFIGS))
def test_odd_configuration_keeps_the_next_one_from_taking_effect(name):
    holder = ForwardConfigHolder()
    published = PublishedConfig(holder)
    store = ConfigStore(holder, published.apply)
    odd = make_entry('', 6, _ODD_CONFIGS[name])
    odd.key = CONFIG_KEY
    published.on_changes([odd], 100)
    # What instances tell each other about it.
    peer_pb2.Revisions(in_force=store.revision, seen=store.seen_revision)
    sound = make_entry('', 7, orjson.dumps(write_config(version=8)))
    sound.key = CONFIG_KEY
    published.on_changes([sound], 100)
    assert holder.version == 8
