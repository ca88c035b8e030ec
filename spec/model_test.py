"""The models hold, and every mutation of theirs is found."""

import pytest

from spec.run import MODELS, check_model

_MUTATIONS = tuple(
    (model, guard, name) for model in MODELS for guard, name in model.MUTATIONS
)


@pytest.mark.parametrize('model', MODELS)
def test_invariants_hold(model):
    """The search is complete and finds no violation."""
    findings = check_model(model, model.GUARDS)
    assert all(finding.holds is True for finding in findings.values())


@pytest.mark.parametrize(('model', 'guard', 'name'), _MUTATIONS)
def test_mutation_is_found(model, guard, name):
    """Without the guard there is a counter-example."""
    finding = check_model(model, model.GUARDS - {guard})[name]
    assert finding.holds is False
    assert len(finding.trace) > 1
