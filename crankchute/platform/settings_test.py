"""Tests of decoding the settings file."""

from types import MappingProxyType

import pytest

from crankchute.errors import SettingsError
from crankchute.platform.settings import load_settings, read_settings

DOCUMENT = MappingProxyType(
    {
        'node-name': 'edge-1',
        'zone': 'z1',
        'region': 'r1',
        'zones': {'z1': 'r1'},
        'internal-port-range': [7340, 7355],
        'seeds': ['10.0.0.1:8229'],
        'listen': {
            'frontend': '10.0.0.1:8227',
            'readiness': '10.0.0.1:8220',
            'control': '10.0.0.1:8229',
            'directory': '10.0.0.1:8224',
        },
        'bounds': {'grace-s': 8, 'revoke-ms': 5000, 'retry-window-s': 10},
        'platform': {'address': '10.0.0.9:8223'},
        'unknown-field': 1,
    }
)


def test_settings_are_decoded():
    settings = read_settings(dict(DOCUMENT))
    assert settings.instance == 'edge-1'
    assert settings.listeners.callers == ('10.0.0.1', 8227)
    assert settings.seeds == (('10.0.0.1', 8229),)
    assert settings.bounds.grace_ms == 8000
    assert settings.bounds.retry_window_ms == 10_000
    assert settings.store == ('10.0.0.9', 8223)


@pytest.mark.parametrize(
    ('changes', 'place'),
    [
        ({'node-name': None}, 'node-name'),
        ({'listen': {}}, 'listen.frontend'),
        ({'platform': {'address': 'x'}}, 'platform.address'),
        ({'seeds': ['1.2.3.4']}, 'seeds'),
        ({'internal-port-range': [1]}, 'internal-port-range'),
        ({'bounds': {'grace-s': 'x'}}, 'bounds.grace-s'),
        ({'limits': {'memory-mb': 0}}, 'limits.memory-mb'),
        ({'limits': {'memory-mb': 'x'}}, 'limits.memory-mb'),
    ],
)
def test_findings_name_the_setting(changes, place):
    with pytest.raises(SettingsError) as raised:
        read_settings({**DOCUMENT, **changes})
    assert place in {finding.location for finding in raised.value.findings}


@pytest.mark.parametrize(
    ('fields', 'config_apply_ms'),
    [({}, 3000), ({'config-apply-ms': 2000}, 2000)],
)
def test_configuration_bound_has_a_default(fields, config_apply_ms):
    settings = read_settings({**DOCUMENT, 'bounds': fields})
    assert settings.bounds.config_apply_ms == config_apply_ms


@pytest.mark.parametrize(
    ('fields', 'unused_ms'),
    [({}, 9000), ({'idle_max_ms': 7000}, 7000)],
)
def test_bound_of_unused_memory_has_a_default(fields, unused_ms):
    settings = read_settings({**DOCUMENT, 'bounds': fields})
    assert settings.bounds.unused_ms == unused_ms


@pytest.mark.parametrize(
    ('fields', 'memory_bytes'),
    [({}, None), ({'memory-mb': 200}, 200 * 1_048_576)],
)
def test_memory_limit_is_optional(fields, memory_bytes):
    settings = read_settings({**DOCUMENT, 'limits': fields})
    assert settings.memory_bytes == memory_bytes


@pytest.mark.parametrize('text', [None, 'node-name = '])
def test_missing_or_malformed_file_raises(tmp_path, text):
    path = tmp_path / 'settings.toml'
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings({'CRANKCHUTE_CONFIG': str(path)})


@pytest.mark.parametrize(
    ('fields', 'is_strict'),
    [({}, True), ({'strict-revocation': False}, False)],
)
def test_revocation_is_strict_by_default(fields, is_strict):
    settings = read_settings({**DOCUMENT, 'bounds': fields})
    assert settings.bounds.is_revocation_strict == is_strict


def test_strict_revocation_must_be_a_boolean():
    with pytest.raises(SettingsError):
        read_settings({**DOCUMENT, 'bounds': {'strict-revocation': 'no'}})


@pytest.mark.parametrize(
    ('fields', 'evacuate_ms'),
    [({}, None), ({'evacuate-ms': 5000}, 5000)],
)
def test_evacuations_are_read_only_if_the_setting_is_there(fields, evacuate_ms):
    settings = read_settings({**DOCUMENT, 'bounds': fields})
    assert settings.bounds.evacuate_ms == evacuate_ms


@pytest.mark.parametrize(
    ('zones', 'names'),
    [
        ({'z1': 'r1', 'z2': 'r1'}, ('z1', 'z2')),
        (['z1', 3], ('z1',)),
        ('z1', ()),
        (None, ()),
    ],
)
def test_names_of_data_centres_are_optional(zones, names):
    """The setting was ignored before, so no form of it may stop a start."""
    settings = read_settings({**DOCUMENT, 'zones': zones})
    assert settings.data_centres == names


@pytest.mark.parametrize(
    ('fields', 'overage', 'slack'),
    [
        ({}, None, 0),
        ({'cold-overage': 1.5}, 1.5, 0),
        ({'cold-overage': 1.5, 'cold-slack': 5}, 1.5, 5),
    ],
)
def test_cold_bounds_are_optional(fields, overage, slack):
    """Without the overage, requests to cold servers are not limited."""
    bounds = read_settings({**DOCUMENT, 'bounds': fields}).bounds
    assert bounds.cold_overage == overage
    assert bounds.cold_slack == slack


@pytest.mark.parametrize('name', ['cold-overage', 'cold-slack'])
@pytest.mark.parametrize('number', [-1, float('nan'), float('inf'), 'much'])
def test_invalid_cold_bounds_are_refused(name, number):
    """They would stop all requests to cold servers, or none."""
    with pytest.raises(SettingsError) as raised:
        read_settings({**DOCUMENT, 'bounds': {name: number}})
    assert raised.value.findings[0].location == f'bounds.{name}'
