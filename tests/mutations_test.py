"""Tests that each guard that is taken out in turn still stands in the code."""

import pytest

from bench.cluster import ROOT
from bench.mutations import MUTATIONS


@pytest.mark.parametrize('mutation', MUTATIONS, ids=lambda one: one.title)
def test_guard_is_there_once(mutation):
    """One had been renamed, and nobody took it out any more."""
    text = (ROOT / mutation.path).read_text(encoding='utf-8')
    assert text.count(mutation.replaced) == 1
    if mutation.scenario.endswith('.py'):
        assert (ROOT / mutation.scenario).exists()
