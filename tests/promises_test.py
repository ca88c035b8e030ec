"""The promises of the brief on real processes, each once and briefly."""

import pytest

from bench.faults import run_scenario
from bench.scenarios.base import scenarios


@pytest.mark.parametrize('name', sorted(scenarios))
def test_promise_holds(name):
    """The scenario finds nothing that breaks the promise."""
    verdict = run_scenario(name, rounds=1)
    assert not verdict.broken, verdict.figure
