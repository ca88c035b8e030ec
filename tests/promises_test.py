"""Tests of the guarantees on real processes: one round of each scenario."""

import pytest

from bench.faults import run_scenario
from bench.scenarios.base import scenarios


@pytest.mark.parametrize('name', sorted(scenarios))
def test_scenario_finds_no_violation(name):
    """The scenario finds no violation."""
    verdict = run_scenario(name, rounds=1)
    assert not verdict.broken, verdict.figure
