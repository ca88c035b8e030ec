"""Tests of keys and of the ledger that lets each run at most once."""

import pytest

from crankchute.core.keys import (
    Binding,
    Claim,
    KeyLedger,
    RequestKey,
    parse_key,
)
from crankchute.errors import BadKeyError

_OWN = Binding('entry-1', 'aa')
_LONGEST_MS = 1000


def _key(binding=_OWN, expiry_ms=500, nonce='n'):
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
def test_parse_key_refuses(text):
    """A text that is no key is refused."""
    with pytest.raises(BadKeyError):
        parse_key(text)


def test_parse_key_reads_what_str_wrote():
    """A key survives being sent."""
    key = parse_key(str(_key()))
    assert key.binding == _OWN
    assert (key.expiry_ms, key.nonce) == (500, 'n')


@pytest.mark.parametrize(
    ('key', 'now_ms', 'claim'),
    [
        (_key(), 0, Claim.FIRST),
        (_key(expiry_ms=100), 100, Claim.EXPIRED),
        (_key(expiry_ms=1001), 0, Claim.EXPIRED),
        (_key(Binding('entry-1', 'bb')), 0, Claim.FOREIGN),
        (_key(Binding('entry-2', 'aa')), 0, Claim.FOREIGN),
    ],
)
def test_first_claim(key, now_ms, claim):
    """Only an own key within its life may be dispatched."""
    assert KeyLedger(_OWN, _LONGEST_MS).claim('acc', key, now_ms) == claim


def test_key_is_claimed_once():
    """A second submission never dispatches, also after the end."""
    ledger = KeyLedger(_OWN, _LONGEST_MS)
    told = []
    assert ledger.claim('acc', _key(), 0) == Claim.FIRST
    assert ledger.claim('acc', _key(), 1) == Claim.RUNNING
    ledger.wait('acc', _key(), told.append)
    ledger.end('acc', _key(), 'answer', 6)
    assert told == ['answer']
    assert ledger.claim('acc', _key(), 2) == Claim.ENDED
    assert ledger.answer('acc', _key()) == 'answer'


def test_accounts_do_not_share_keys():
    """The same key of another account is another key."""
    ledger = KeyLedger(_OWN, _LONGEST_MS)
    ledger.claim('acc', _key(), 0)
    assert ledger.claim('other', _key(), 0) == Claim.FIRST


def test_forgotten_key_is_still_refused():
    """Forgetting a key after its expiry does not let it run again."""
    ledger = KeyLedger(_OWN, _LONGEST_MS)
    ledger.claim('acc', _key(), 0)
    ledger.end('acc', _key(), 'answer', 6)
    ledger.forget_expired(501)
    assert not len(ledger)
    assert ledger.claim('acc', _key(), 501) == Claim.EXPIRED
