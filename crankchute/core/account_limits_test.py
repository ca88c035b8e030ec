"""Tests of account limits and the loans between instances."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crankchute.core.account_limits import AccountUsage, Portion
from crankchute.core.config import Account

_WIDTH = 3
_TOLERANCE = 1e-9
_STEP = st.tuples(
    st.integers(min_value=0, max_value=_WIDTH - 1),
    st.integers(min_value=0, max_value=_WIDTH - 1),
    st.floats(min_value=0, max_value=1),
    st.sampled_from(['ask', 'lost reply', 'wait']),
    st.integers(min_value=0, max_value=1500),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(_STEP, max_size=40))
def test_fractions_never_add_up_to_more_than_one(steps):
    """Lost, late and expired loans never raise the total."""
    portions = [Portion(_WIDTH) for _ in range(_WIDTH)]
    now_ms = 0
    for borrower, lender, wanted, event, delay_ms in steps:
        requested_ms = now_ms
        if event == 'wait':
            now_ms += delay_ms
        elif borrower != lender:
            granted = portions[lender].lend(wanted, 0, now_ms)
            now_ms += delay_ms
            if event == 'ask':
                portions[borrower].borrow(granted, requested_ms)
        total = sum(portion.fraction(now_ms) for portion in portions)
        assert total <= 1 + _TOLERANCE


def _make_use(**limits):
    return AccountUsage(Account({'name': 'a', 'width': 1, **limits}), 0)


def test_requests_in_progress_are_limited():
    """A request above the limit is refused until another one ends."""
    use = _make_use(max_in_progress=2)
    assert use.admit(1, 0) is None
    assert use.admit(1, 0) is None
    assert use.admit(1, 0) > 0
    use.release()
    assert use.admit(1, 0) is None


def test_tokens_are_limited_and_refilled():
    """A refusal returns the time until enough tokens are available."""
    use = _make_use(tokens_per_second=1000)
    assert use.admit(2000, 0) is None
    retry_after_ms = use.admit(500, 0)
    assert retry_after_ms == 500
    assert use.admit(500, retry_after_ms - 10) is not None
    assert use.admit(500, retry_after_ms) is None


def test_prompt_above_the_burst_size_is_admitted():
    """A prompt longer than the bucket size needs only a full bucket."""
    use = _make_use(tokens_per_second=1000)
    assert use.admit(900_000, 0) is None
    assert use.admit(1, 1000) > 0


def test_unused_fraction_is_lent_until_expiry():
    lender = Portion(2)
    granted = lender.lend(0.4, 0.2, 0)
    assert [granted, lender.fraction(0), lender.fraction(2501)] == [
        pytest.approx(0.3),
        pytest.approx(0.2),
        pytest.approx(0.5),
    ]
