"""Tests of the shares of client accounts, replaying their loads."""

import random
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankchute.core.account_shares import (
    MAX_ACCOUNTS,
    NO_ACCOUNT,
    AccountShares,
    hash_account,
)

HEAVY = 1_000_000
COST_MS = 225
STEP_MS = 100
HALF_LIFE_MS = 2000


class Replay:
    """Records the work of accounts in steps of virtual time."""

    def __init__(self):
        self.shares = AccountShares()
        self.now_ms = 0

    def run(self, seconds, costs_ms):
        """Record the work of a step for some seconds.

        Args:
          seconds: The duration.
          costs_ms: A map from account to the engine time in each step.
        """
        end_ms = self.now_ms + seconds * 1000
        while self.now_ms < end_ms:
            for account, cost_ms in costs_ms.items():
                self.shares.record(account, cost_ms, self.now_ms)
            self.now_ms += STEP_MS

    def excess(self, account):
        return self.shares.excess(account, self.now_ms)


def make_costs(others, heavy_ms, other_ms=COST_MS):
    """Return the engine time per step of equal accounts and a heavy one."""
    costs_ms = dict.fromkeys(range(1, others + 1), other_ms)
    costs_ms[HEAVY] = heavy_ms
    return costs_ms


@pytest.mark.parametrize(
    ('others', 'heavy_factor', 'expected'),
    [
        # Ten times as much as each of 20: 10 / (30 / 21).
        (20, 10, 7),
        # One of 24 equal accounts.
        (23, 1, 1),
        (23, 2, 1.92),
        # Half of what each of the others sends.
        (20, 0.5, 1),
    ],
)
def test_account_that_sends_more_is_in_excess(others, heavy_factor, expected):
    """Otherwise the account that sends most takes most of the engines."""
    replay = Replay()
    replay.run(10, make_costs(others, heavy_factor * COST_MS))
    assert replay.excess(HEAVY) == pytest.approx(expected, abs=0.01)
    # 20 accounts and one with half of their work: 20.5 / 21.
    others_excess = 1.02 if heavy_factor < 1 else 1
    for other in range(1, others + 1):
        assert replay.excess(other) == pytest.approx(others_excess, abs=0.01)


def test_few_large_prompts_count_by_their_cost():
    """Counting requests would miss an account with 40 times longer prompts."""
    replay = Replay()
    for second in range(8):
        replay.shares.record(HEAVY, 40 * COST_MS, second * 1000)
        # The others send five prompts in the same time.
        replay.run(1, make_costs(20, 0, other_ms=COST_MS / 2))
    assert replay.excess(HEAVY) > 4
    assert replay.excess(1) == pytest.approx(1)


def test_repeated_requests_count_each_time_they_are_sent():
    """An account that repeats at once gets no more than one that waits."""
    replay = Replay()
    costs_ms = make_costs(20, COST_MS)
    replay.run(5, costs_ms)
    assert replay.excess(HEAVY) == pytest.approx(1)
    start_ms = replay.now_ms
    while replay.now_ms < start_ms + 5 * STEP_MS:
        replay.shares.record(HEAVY, 10 * COST_MS, replay.now_ms)
        replay.run(STEP_MS / 1000, costs_ms)
    assert replay.excess(HEAVY) > 2


def test_burst_is_noticed_within_half_a_second():
    """The first 500 ms of a burst count, too."""
    replay = Replay()
    replay.run(10, make_costs(20, COST_MS))
    replay.run(0.5, make_costs(20, 20 * COST_MS))
    assert replay.excess(HEAVY) > 2


@pytest.mark.parametrize('heavy_part', [0.02, 0.2, 0.9])
def test_heavy_account_is_found_among_many(heavy_part):
    """The bounded table must not lose it or take small accounts for it."""
    shares = AccountShares()
    source = random.Random(7)
    largest_excess = 1
    for number in range(40_000):
        now_ms = number / 2
        account = source.randrange(1, 20_001)
        shares.record(account, COST_MS * (1 - heavy_part), now_ms)
        shares.record(HEAVY, COST_MS * heavy_part, now_ms)
        largest_excess = max(largest_excess, shares.excess(account, now_ms))
    assert shares.count_accounts(now_ms) == MAX_ACCOUNTS
    assert shares.list_largest(1, now_ms)[0].account == HEAVY
    assert shares.excess(HEAVY, now_ms) > 5
    # A single request of a small account may be over an equal part of it.
    assert largest_excess < 3


def test_inherited_work_is_not_held_against_an_account():
    """A newcomer takes over the sum of an evicted account, not its excess."""
    shares = AccountShares()
    for account in range(1, MAX_ACCOUNTS + 1):
        shares.record(account, 50 * COST_MS, 0)
    shares.record(HEAVY, COST_MS, 0)
    assert shares.count_accounts(0) == MAX_ACCOUNTS
    assert shares.excess(HEAVY, 0) == pytest.approx(1)
    usage = shares.list_largest(1, 0)[0]
    assert usage.account == HEAVY
    assert usage.share == pytest.approx(1 / 50 / MAX_ACCOUNTS, rel=0.01)


@pytest.mark.parametrize('cost_ms', [1, COST_MS, 1000 * COST_MS])
def test_single_account_is_never_in_excess(cost_ms):
    """Engines that nobody else asks for are available to it."""
    replay = Replay()
    replay.run(10, {HEAVY: cost_ms})
    assert replay.excess(HEAVY) == pytest.approx(1)


@pytest.mark.parametrize(
    ('others', 'other_part', 'expected'),
    [
        # Two accounts, the other with a tenth: both may want half.
        (1, 0.1, 1.82),
        # It may want up to ten hundredths, so the rest is available.
        (1, 0.01, 1.1),
        (1, 0.001, 1.01),
        # Many small accounts leave nearly all unused, too.
        (100, 0.0001, 1.1),
    ],
)
def test_unused_shares_are_available(others, other_part, expected):
    """Equal parts for all accounts would limit one that harms nobody."""
    replay = Replay()
    heavy_ms = 100 * COST_MS
    replay.run(10, make_costs(others, heavy_ms, other_part * heavy_ms))
    assert replay.excess(HEAVY) == pytest.approx(expected, abs=0.01)


def test_unused_shares_do_not_hide_the_largest_account():
    """Idle accounts leave their shares to all others equally."""
    replay = Replay()
    costs_ms = make_costs(20, 10 * COST_MS)
    costs_ms.update(dict.fromkeys(range(100, 400), COST_MS / 10_000))
    replay.run(10, costs_ms)
    assert replay.excess(HEAVY) == pytest.approx(7, abs=0.1)
    assert replay.excess(1) == pytest.approx(1)


def test_excess_ends_after_a_flood():
    """An account is not limited for long after it has stopped."""
    replay = Replay()
    replay.run(10, make_costs(20, 20 * COST_MS))
    assert replay.excess(HEAVY) > 10
    replay.run(10, make_costs(20, COST_MS))
    assert round(100 * replay.excess(HEAVY)) < 160
    replay.run(10, make_costs(20, COST_MS))
    assert round(100 * replay.excess(HEAVY)) < 110


@pytest.mark.parametrize(
    ('pause_ms', 'largest_excess', 'count'),
    [
        (HALF_LIFE_MS, 8, 21),
        # The heavy account's remaining engine time is negligible.
        (13 * HALF_LIFE_MS, 1, 21),
        (25 * HALF_LIFE_MS, 1, 0),
        # Far beyond the range in which the sums are stored.
        (5000 * HALF_LIFE_MS, 1, 0),
    ],
)
def test_all_decays_without_work(pause_ms, largest_excess, count):
    """A flood before a pause must not count in the next burst."""
    replay = Replay()
    replay.run(10, make_costs(20, 10 * COST_MS))
    replay.now_ms += pause_ms
    assert 1 <= replay.excess(HEAVY) <= largest_excess
    assert replay.shares.count_accounts(replay.now_ms) == count


def test_long_runs_keep_the_sums_exact():
    """Stored units grow, and are converted before they overflow."""
    replay = Replay()
    costs_ms = make_costs(2, 10 * COST_MS)
    replay.run(10, costs_ms)
    before = replay.excess(HEAVY)
    replay.run(3600, costs_ms)
    assert replay.excess(HEAVY) == pytest.approx(before, rel=0.01)


def test_excess_is_right_across_a_conversion_of_the_units():
    """The sum is read only after the units were converted."""
    replay = Replay()
    replay.now_ms = 99 * HALF_LIFE_MS
    replay.run(1.9, make_costs(20, 10 * COST_MS))
    before = replay.excess(HEAVY)
    replay.now_ms += STEP_MS
    assert replay.excess(HEAVY) == pytest.approx(before, rel=0.01)


@given(
    st.lists(
        st.tuples(
            st.integers(1, 2 * MAX_ACCOUNTS),
            st.floats(1, 10_000),
            st.sampled_from([0, 1, STEP_MS, 30 * HALF_LIFE_MS]),
        ),
    ),
    st.integers(0, 2 * MAX_ACCOUNTS),
)
def test_shares_are_never_overstated(records, accounts):
    """The bounded table may miss work of an account, but not add any."""
    shares = AccountShares()
    exact_ms = Counter()
    now_ms = 0
    for account in range(1, accounts + 1):
        shares.record(account, COST_MS, now_ms)
        exact_ms[account] += COST_MS
    for account, cost_ms, pause_ms in records:
        now_ms += pause_ms
        for known in exact_ms:
            exact_ms[known] *= 0.5 ** (pause_ms / HALF_LIFE_MS)
        shares.record(account, cost_ms, now_ms)
        exact_ms[account] += cost_ms
        assert shares.excess(account, now_ms) >= 1
    total_ms = exact_ms.total()
    usages = shares.list_largest(2 * MAX_ACCOUNTS, now_ms)
    assert len(usages) <= MAX_ACCOUNTS
    for usage in usages:
        # Entries below 0.1 ms are removed, and with them their part.
        share = (exact_ms[usage.account] + 0.1) / max(total_ms - 200, 0.1)
        assert 0 <= usage.share <= share * 1.001
    found = {one.account for one in usages}
    for account, account_ms in exact_ms.items():
        # Removed entries lose little over 0.1 ms of an account.
        if account_ms > total_ms / MAX_ACCOUNTS * 1.001 + 0.3:
            assert account in found


def test_work_without_an_account_is_not_recorded():
    """Deployments without client accounts keep no table."""
    shares = AccountShares()
    shares.record(NO_ACCOUNT, COST_MS, 0)
    assert shares.count_accounts(0) == 0
    assert shares.excess(NO_ACCOUNT, 0) == pytest.approx(1)
    assert not shares.list_largest(10, 0)


@pytest.mark.parametrize(
    ('name', 'expected'),
    [(None, NO_ACCOUNT), ('acc', 1000414406), ('', 2709588858)],
)
def test_hash_is_equal_at_all_instances(name, expected):
    """Instances of different processes exchange it."""
    assert hash_account(name) == expected


def test_names_of_accounts_are_bounded():
    """Names are kept for display only."""
    shares = AccountShares()
    for now_ms in range(2 * MAX_ACCOUNTS):
        shares.record(shares.identify(f'acc-{now_ms}'), COST_MS, now_ms)
    latest = shares.list_largest(MAX_ACCOUNTS, 2 * MAX_ACCOUNTS)
    assert {usage.name for usage in latest} == {
        f'acc-{kept}' for kept in range(MAX_ACCOUNTS, 2 * MAX_ACCOUNTS)
    }
    assert shares.identify(None) == NO_ACCOUNT
    assert shares.identify('acc-1') == hash_account('acc-1')
