"""Tests that the models hold and that the checker finds every mutation."""

import pytest

from spec.run import MODELS, check_model

_MUTATIONS = tuple(
    (model, guard, invariant)
    for model in MODELS
    for guard, invariant in model.MUTATIONS
)


@pytest.mark.parametrize('model', MODELS)
def test_invariants_hold(model):
    """The search is exhaustive and finds no violation."""
    findings = check_model(model, model.GUARDS)
    assert all(finding.holds is True for finding in findings.values())


@pytest.mark.parametrize(('model', 'guard', 'invariant'), _MUTATIONS)
def test_mutation_violates_invariant(model, guard, invariant):
    """Without the guard, the checker finds a counterexample."""
    finding = check_model(model, model.GUARDS - {guard})[invariant]
    assert finding.holds is False
    assert len(finding.trace) > 1
