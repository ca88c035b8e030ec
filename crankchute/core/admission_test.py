"""Tests of the admission of keyed requests by configuration age."""

from types import SimpleNamespace

import pytest

from crankchute.core.admission import make_key_admission


@pytest.mark.parametrize(
    ('is_strict', 'age_ms', 'allowed'),
    [
        (True, 0, True),
        (True, 4300, True),
        (True, 4301, False),
        (True, None, False),
        (False, 0, True),
        (False, 4301, True),
        (False, 600_000, True),
        # Restarted during an outage of the platform: the configuration comes
        # from a peer and was never confirmed.
        (False, None, True),
    ],
)
def test_only_strict_revocation_limits_the_proof_age(
    is_strict,
    age_ms,
    allowed,
):
    bounds = SimpleNamespace(is_revocation_strict=is_strict, revoke_ms=5000)
    assert make_key_admission(bounds).allows(age_ms) == allowed
