"""Tests that each mutation applies to the current code."""

import pytest

from bench.cluster import ROOT
from bench.mutations import MUTATIONS


@pytest.mark.parametrize(
    'mutation', MUTATIONS, ids=lambda mutation: mutation.title
)
def test_mutated_text_occurs_once(mutation):
    """Guards against mutations that a rename has made ineffective."""
    text = (ROOT / mutation.path).read_text(encoding='utf-8')
    assert text.count(mutation.replaced) == 1
    if mutation.scenario.endswith('.py'):
        assert (ROOT / mutation.scenario).exists()
