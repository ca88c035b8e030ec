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
        'a-field-of-tomorrow': 1,
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
    ],
)
def test_every_finding_names_its_place(changes, place):
    with pytest.raises(SettingsError) as caught:
        read_settings({**DOCUMENT, **changes})
    assert place in {finding.location for finding in caught.value.findings}


@pytest.mark.parametrize(
    ('told', 'in_force_ms'),
    [({}, 3000), ({'config-apply-ms': 2000}, 2000)],
)
def test_bound_of_new_versions_is_read(told, in_force_ms):
    settings = read_settings({**DOCUMENT, 'bounds': told})
    assert settings.bounds.in_force_ms == in_force_ms


@pytest.mark.parametrize(
    ('told', 'unused_ms'),
    [({}, 9000), ({'idle_max_ms': 7000}, 7000)],
)
def test_bound_of_unused_memory_is_read(told, unused_ms):
    settings = read_settings({**DOCUMENT, 'bounds': told})
    assert settings.bounds.unused_ms == unused_ms


@pytest.mark.parametrize('text', [None, 'node-name = '])
def test_file_that_cannot_be_read_is_a_finding(tmp_path, text):
    path = tmp_path / 'settings.toml'
    if text is not None:
        path.write_text(text)
    with pytest.raises(SettingsError):
        load_settings({'CRANKCHUTE_CONFIG': str(path)})


@pytest.mark.parametrize(
    ('told', 'is_strict'),
    [({}, True), ({'strict-revocation': False}, False)],
)
def test_revocation_is_strict_unless_told_otherwise(told, is_strict):
    settings = read_settings({**DOCUMENT, 'bounds': told})
    assert settings.bounds.is_revocation_strict == is_strict


def test_strictness_of_revocation_is_true_or_false():
    with pytest.raises(SettingsError):
        read_settings({**DOCUMENT, 'bounds': {'strict-revocation': 'no'}})
