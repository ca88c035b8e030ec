"""Tests of the engine performance model against hand-computed values."""

import pytest

from crankchute.core.engine_model import (
    estimate_pass_ms,
    estimate_prefill_ms,
    estimate_step_ms,
)
from crankchute.core.forward_fakes import make_figures


@pytest.mark.parametrize(
    ('tokens', 'parts', 'expected_ms'),
    [
        (2048, 1, 2048 / 206 + 2.097 * 0.138 + 1.02),
        (133_000, 1, 645.6 + 1220.5 + 65 * 1.02),
        (133_000, 7, (645.6 + 1220.5) / 7 + 10 * 1.02),
        (0, 1, 0),
    ],
)
def test_prefill_time(tokens, parts, expected_ms):
    estimated_ms = estimate_prefill_ms(make_figures(), tokens, parts)
    assert estimated_ms == pytest.approx(expected_ms, rel=0.01, abs=0.2)


def test_pass_without_decodes_is_one_step():
    figures = make_figures()
    assert estimate_pass_ms(figures, 0, 0) == figures.step_ms
    step_ms = estimate_step_ms(figures, 3, 10_000)
    assert step_ms == pytest.approx(1.02 + 3 * 0.0045 + 10 * 0.0043)
    assert estimate_pass_ms(figures, 3, 10_000) == step_ms * 43
