"""Tests of parsing servers' entries in the store."""

from types import MappingProxyType

import orjson
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from crankchute.core.fleet import LEAVING, LIVE
from crankchute.errors import ConfigError
from crankchute.platform.server_entries import read_server

ENTRY = MappingProxyType(
    {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'z',
        'version': 'v1',
        'slots': 6,
        'state': 'ready',
        'cold-remaining-ms': 0,
        'sequence': 4,
    }
)
BORN = 1_788_242_912_000


def write_entry(**changes):
    return orjson.dumps({**ENTRY, **changes})


@pytest.mark.parametrize(
    ('state', 'expected'),
    [('ready', LIVE), ('draining', LEAVING)],
)
def test_valid_entry(state, expected):
    listed = read_server('i-1', write_entry(state=state, models=[]))
    assert listed.identity == 'i-1'
    assert listed.address == ('10.0.0.1', 80)
    assert listed.state == expected
    assert listed.born is None
    assert listed.cold_remaining_ms == 0


def test_cold_time_of_an_entry_is_kept():
    """A cold server that counts as warm fails under the load."""
    entry = {**ENTRY, 'cold-remaining-ms': 1500}
    assert read_server('i-1', orjson.dumps(entry)).cold_remaining_ms == 1500


def test_identity_includes_the_start_time():
    first = read_server('i-1', write_entry(born=BORN))
    restarted = read_server('i-1', write_entry(born=BORN + 1))
    assert first.listed_id == restarted.listed_id == 'i-1'
    assert first.identity != restarted.identity
    assert first.is_older(restarted)
    assert not restarted.is_older(first)


@pytest.mark.parametrize('name', sorted(ENTRY))
def test_entry_without_a_required_field_is_refused(name):
    document = {**ENTRY}
    document.pop(name)
    with pytest.raises(ConfigError) as exc_info:
        read_server('i-1', orjson.dumps(document))
    assert exc_info.value.findings[0].location == 'i-1'
    assert name in exc_info.value.findings[0].text


@pytest.mark.parametrize(
    ('name', 'invalid'),
    [
        *((name, None) for name in sorted(ENTRY)),
        *((name, []) for name in sorted(ENTRY)),
        *((name, {}) for name in sorted(ENTRY)),
        *((name, True) for name in sorted(ENTRY)),
        ('state', 'retired'),
        ('state', ['ready']),
        ('service', 7),
        ('service', ''),
        ('zone', 7),
        ('address', '10.0.0.1'),
        ('address', '10.0.0.1:'),
        ('address', '10.0.0.1:0'),
        ('address', '10.0.0.1:65536'),
        ('address', '10.0.0.1:-1'),
        ('address', '10.0.0.1:1e3'),
        ('address', 'somewhere:80'),
        ('address', ':80'),
        ('address', '10.0.0.1\r\nX: y:80'),
        ('slots', '6'),
        ('slots', -6),
        ('slots', 6.5),
        ('sequence', 'many'),
        ('cold-remaining-ms', '0'),
        ('cold-remaining-ms', -1),
        ('born', None),
        ('born', 'today'),
        ('born', BORN + 0.5),
        ('born', -1),
        ('born', True),
    ],
)
def test_entry_with_an_invalid_field_is_refused(name, invalid):
    with pytest.raises(ConfigError):
        read_server('i-1', write_entry(**{name: invalid}))


@pytest.mark.parametrize(
    'payload',
    [
        b'',
        b'{}',
        b'7',
        b'null',
        b'[]',
        b'not json',
        b'\xff\xfe\x00',
        b'[' * 100_000,
        b'{"a":[' * 2000,
        write_entry(note='x' * 3_000_000),
        b' ' * 3_000_000,
    ],
)
def test_malformed_entry_is_refused_with_a_short_message(payload):
    with pytest.raises(ConfigError) as exc_info:
        read_server('i-1', payload)
    assert len(str(exc_info.value)) < 200


@pytest.mark.parametrize(
    'identity',
    ['', 'a b', 'a\r\nX-Header: y', 'ü', 'x' * 201],
)
def test_invalid_server_id_is_refused(identity):
    with pytest.raises(ConfigError) as exc_info:
        read_server(identity, write_entry())
    assert exc_info.value.findings[0].location == 'servers'


text_values = st.text('a0:.-\r\u00fc', max_size=6)
scalar_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-9, 2**60),
    st.floats(),
    text_values,
)
json_values = st.one_of(
    scalar_values,
    st.lists(scalar_values, max_size=2),
    st.dictionaries(text_values, scalar_values, max_size=2),
)
# No deadline, since the first example includes building the strategies.
property_settings = settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)


@property_settings
@given(
    changes=st.dictionaries(
        st.sampled_from([*ENTRY, 'born', 'stage', 'else']),
        json_values,
        max_size=3,
    ),
    missing=st.sets(st.sampled_from(sorted(ENTRY)), max_size=2),
)
def test_random_changes_give_a_valid_server_or_a_finding(changes, missing):
    """Each field of an accepted entry has the type that the core expects."""
    document = {**ENTRY, **changes}
    for name in missing:
        document.pop(name)
    try:
        listed = read_server('i-1', orjson.dumps(document))
    except ConfigError:
        return
    host, port = listed.address
    assert isinstance(host, str)
    assert 0 < port < 65_536
    assert listed.state in {LIVE, LEAVING}
    assert isinstance(listed.labels['pool'], str)
    assert isinstance(listed.data_centre, str)
    assert listed.born is None or listed.born >= 0


@property_settings
@given(payload=st.binary(max_size=300))
def test_random_bytes_are_refused(payload):
    with pytest.raises(ConfigError):
        read_server('i-1', payload)
