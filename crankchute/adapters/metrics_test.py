"""Tests of the metrics."""

import re
from pathlib import Path

import crankchute
from crankchute.adapters.metrics import PrometheusMetrics

_COUNTED = re.compile(r"metrics\.count\(\s*'(\w+)'")
_PACKAGE = Path(crankchute.__file__).parent


def list_counted():
    """Return the names of the counters that the package uses."""
    sources = (
        path.read_text(encoding='utf-8')
        for path in _PACKAGE.rglob('*.py')
        if not path.name.endswith('_test.py')
    )
    return {name for source in sources for name in _COUNTED.findall(source)}


def test_every_counter_that_is_used_exists():
    """An unknown counter fails the request that it counts."""
    names = list_counted()
    assert 'refusals' in names
    exposed = PrometheusMetrics().render().decode()
    missing = {name for name in names if f'crankchute_{name}' not in exposed}
    assert not missing
