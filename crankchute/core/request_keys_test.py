"""Tests of idempotency keys and their ledger."""

import pytest

from crankchute.core.request_keys import (
    Binding,
    Claim,
    KeyLedger,
    RequestKey,
    parse_key,
)
from crankchute.errors import BadKeyError

_OWN_BINDING = Binding('entry-1', 'aa')
_MAX_LIFETIME_MS = 1000


def _make_key(binding=_OWN_BINDING, expiry_ms=500, nonce='n'):
    return RequestKey(binding, expiry_ms, nonce)


@pytest.mark.parametrize(
    'text',
    [
        '',
        'a.b.1',
        'a.b.c.d',
        'a.b.1.n.more',
        'a..1.n',
        'a.b.-1.n',
        'a.b.².n',
    ],
)
def test_parse_key_rejects_malformed_text(text):
    with pytest.raises(BadKeyError):
        parse_key(text)


def test_parse_key_round_trip():
    key = parse_key(str(_make_key()))
    assert key.binding == _OWN_BINDING
    assert (key.expiry_ms, key.nonce) == (500, 'n')


@pytest.mark.parametrize(
    ('key', 'now_ms', 'claim'),
    [
        (_make_key(), 0, Claim.FIRST),
        (_make_key(expiry_ms=100), 100, Claim.EXPIRED),
        (_make_key(expiry_ms=1001), 0, Claim.EXPIRED),
        (_make_key(Binding('entry-1', 'bb')), 0, Claim.FOREIGN),
        (_make_key(Binding('entry-2', 'aa')), 0, Claim.FOREIGN),
    ],
)
def test_first_claim(key, now_ms, claim):
    """Only a valid key bound to this process may be dispatched."""
    assert (
        KeyLedger(_OWN_BINDING, _MAX_LIFETIME_MS).claim('acc', key, now_ms)
        == claim
    )


def test_key_is_claimed_once():
    """A repeated submission is never dispatched, even after the end."""
    ledger = KeyLedger(_OWN_BINDING, _MAX_LIFETIME_MS)
    answers = []
    assert ledger.claim('acc', _make_key(), 0) == Claim.FIRST
    assert ledger.claim('acc', _make_key(), 1) == Claim.RUNNING
    ledger.wait('acc', _make_key(), answers.append)
    ledger.end('acc', _make_key(), 'answer', 6)
    assert answers == ['answer']
    assert ledger.claim('acc', _make_key(), 2) == Claim.ENDED
    assert ledger.answer('acc', _make_key()) == 'answer'


def test_keys_are_scoped_to_the_account():
    ledger = KeyLedger(_OWN_BINDING, _MAX_LIFETIME_MS)
    ledger.claim('acc', _make_key(), 0)
    assert ledger.claim('other', _make_key(), 0) == Claim.FIRST


def test_dropped_key_is_still_refused():
    """A key cannot run again after its entry was dropped at expiry."""
    ledger = KeyLedger(_OWN_BINDING, _MAX_LIFETIME_MS)
    ledger.claim('acc', _make_key(), 0)
    ledger.end('acc', _make_key(), 'answer', 6)
    ledger.evict_expired(501)
    assert not len(ledger)
    assert ledger.claim('acc', _make_key(), 501) == Claim.EXPIRED
