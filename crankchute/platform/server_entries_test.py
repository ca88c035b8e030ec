"""Tests of reading servers' entries, whoever wrote them."""

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
def test_entry_of_a_server(state, expected):
    listed = read_server('i-1', write_entry(state=state, models=[]))
    assert listed.identity == 'i-1'
    assert listed.address == ('10.0.0.1', 80)
    assert listed.state == expected
    assert listed.born is None


def test_start_is_a_part_of_what_a_server_is_known_by():
    first = read_server('i-1', write_entry(born=BORN))
    again = read_server('i-1', write_entry(born=BORN + 1))
    assert first.listed_id == again.listed_id == 'i-1'
    assert first.identity != again.identity
    assert first.is_older(again)
    assert not again.is_older(first)


@pytest.mark.parametrize('name', sorted(ENTRY))
def test_entry_that_lacks_a_field_names_no_server(name):
    document = {**ENTRY}
    document.pop(name)
    with pytest.raises(ConfigError) as caught:
        read_server('i-1', orjson.dumps(document))
    assert caught.value.findings[0].location == 'i-1'
    assert name in caught.value.findings[0].text


@pytest.mark.parametrize(
    ('name', 'wrong'),
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
def test_entry_with_a_wrong_field_names_no_server(name, wrong):
    with pytest.raises(ConfigError):
        read_server('i-1', write_entry(**{name: wrong}))


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
def test_bytes_that_are_no_entry_name_no_server(payload):
    with pytest.raises(ConfigError) as caught:
        read_server('i-1', payload)
    assert len(str(caught.value)) < 200


@pytest.mark.parametrize(
    'identity',
    ['', 'a b', 'a\r\nX-Header: y', 'ü', 'x' * 201],
)
def test_key_that_is_no_name_names_no_server(identity):
    with pytest.raises(ConfigError) as caught:
        read_server(identity, write_entry())
    assert caught.value.findings[0].location == 'servers'


texts = st.text('a0:.-\r\u00fc', max_size=6)
plain_values = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-9, 2**60),
    st.floats(),
    texts,
)
json_values = st.one_of(
    plain_values,
    st.lists(plain_values, max_size=2),
    st.dictionaries(texts, plain_values, max_size=2),
)
# The time of the first example is that of building the strategies.
calm = settings(
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)


@calm
@given(
    changes=st.dictionaries(
        st.sampled_from([*ENTRY, 'born', 'stage', 'else']),
        json_values,
        max_size=3,
    ),
    lost=st.sets(st.sampled_from(sorted(ENTRY)), max_size=2),
)
def test_whatever_is_written_is_a_server_or_a_finding(changes, lost):
    """What is taken can be used as it is: no other type gets through."""
    document = {**ENTRY, **changes}
    for name in lost:
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


@calm
@given(payload=st.binary(max_size=300))
def test_any_bytes_are_a_server_or_a_finding(payload):
    with pytest.raises(ConfigError):
        read_server('i-1', payload)
