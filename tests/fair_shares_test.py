"""Tests that a flood of one account leaves the others their shares.

Each run replaces an instance and cuts one off from the others.  The rule that
admits requests is that of the simulation, not that of the product.
"""

import pytest

from bench.fair_shares import FLEETS, NO_FLOOD, simulate


@pytest.mark.parametrize('instances', FLEETS)
@pytest.mark.parametrize(
    ('flood', 'plain_part', 'fair_part'),
    [
        (NO_FLOOD, 1, 1),
        ('ten times as much', 0.85, 0.95),
        ('ten times, repeats at once', 0.75, 0.95),
        # A prompt of 40 usual ones fills the engines before it is refused.
        ('prompts 40 times larger', 0.75, 0.88),
        # 0.48 of the work of 20 accounts fits beside that of another one.
        ('ten times, others want twice the capacity', 0.36, 0.45),
    ],
)
@pytest.mark.parametrize('seed', [1, 2])
def test_others_keep_their_share(instances, flood, plain_part, fair_part, seed):
    """The flood must not displace them, also while an instance is cut off."""
    plain = simulate(instances, flood, is_fair=False, seed=seed)
    fair = simulate(instances, flood, is_fair=True, seed=seed)
    assert plain.others.part <= plain_part
    assert fair.others.part >= fair_part
    assert fair.isolated.part >= plain.isolated.part


@pytest.mark.parametrize('instances', FLEETS)
def test_flooding_account_gets_about_an_equal_share(instances):
    """If all accounts want more than the capacity, none gets much more."""
    flood = 'ten times, others want twice the capacity'
    plain = simulate(instances, flood, is_fair=False).compare_heavy()
    fair = simulate(instances, flood, is_fair=True).compare_heavy()
    assert plain > 9
    assert round(100 * fair) < 150


def test_flooding_account_may_use_what_others_leave():
    """Limiting it to an equal share would leave the engines idle."""
    world = simulate(72, 'ten times as much', is_fair=True)
    assert world.compare_heavy() > 2
