"""Tests of the lending of permits for rate-limited servers."""

import random

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.permit_lending import (
    PermitBorrower,
    PermitOffer,
    lend_permit,
)
from crankchute.core.server_rate_limits import ServerRateLimits

_WINDOW_MS = 4000
_ACTIVE = ('entry-0', 'entry-1', 'entry-2')


class LendingHarness:
    """An instance, and the active instances that divide limits."""

    def __init__(self, own, active=_ACTIVE):
        self.timers = ManualTimers()
        self.limits = ServerRateLimits(self.timers, own, 'boot')
        self.limits.start(
            lambda: active,
            lambda _instance: False,
            lambda _server: None,
        )
        self.borrower = PermitBorrower(
            self.timers.clock,
            random.Random(1),
            self.limits,
            own,
        )
        self.timers.advance(_WINDOW_MS)

    def advertise(self, **limits):
        for server, limit in limits.items():
            now_ms = self.timers.clock.now_ms()
            self.limits.advertised.receive_answer(server, limit, now_ms)


def test_permit_is_lent_where_most_are_left_and_counted():
    harness = LendingHarness('entry-0', ['entry-0'])
    harness.advertise(a=1, b=10)
    permits = harness.limits.permits
    offers = [lend_permit(permits, ['a', 'b']).server for _ in range(7)]
    assert offers == ['b', 'b', 'b', 'b', 'a', 'b', None]
    assert lend_permit(permits, ['a', 'b']).wait_ms == pytest.approx(100)
    assert lend_permit(permits, []).server is None


def test_borrowed_permit_is_valid_for_one_request():
    harness = LendingHarness('elsewhere')
    harness.advertise(a=1)
    permits = harness.limits.permits
    assert not permits.has_permit('a')
    assert harness.borrower.take('entry-1', PermitOffer('a')) == 'a'
    assert permits.has_permit('a')
    permits.record_sent('a')
    assert not permits.has_permit('a')
    harness.borrower.take('entry-1', PermitOffer('a'))
    permits.discard_borrowed('a')
    permits.discard_borrowed(None)
    assert not permits.has_permit('a')


def test_holder_that_lent_nothing_is_not_asked_again_at_once():
    harness = LendingHarness('elsewhere')
    harness.advertise(a=100, b=0)
    assert set(harness.borrower.list_lenders(['a'])) == set(_ACTIVE)
    # A limit of zero has no permits to lend.
    assert not harness.borrower.list_lenders(['b'])
    assert harness.borrower.take('entry-1', None) is None
    assert harness.borrower.take('entry-2', PermitOffer(None, 100)) is None
    assert harness.borrower.list_lenders(['a']) == ['entry-0']
    harness.timers.advance(100)
    assert set(harness.borrower.list_lenders(['a'])) == {'entry-0', 'entry-2'}
    harness.timers.advance(_WINDOW_MS)
    assert set(harness.borrower.list_lenders(['a'])) == set(_ACTIVE)
