"""Prompts for demonstrations and measurements: plain words, by seed."""

import random

_WORDS = (
    'route seat fare terminal coach manifest dispatcher complaint delay gate '
    'pallet chamber reading degree ledger truck auditor season invoice hold '
    'passenger luggage transfer platform window queue refund ticket driver'
).split()
_BYTES_PER_TOKEN = 4


def make_prompt(tokens, seed, shared_tokens=0):
    """Return a prompt of about a number of tokens.

    Args:
      tokens: The length in tokens of four bytes.
      seed: Prompts of one seed are equal.
      shared_tokens: How many leading tokens are the same for all seeds.
    Returns:
      A string of exactly four times `tokens` characters.
    """
    shared = _make_words(shared_tokens, 'shared')
    own = _make_words(tokens - shared_tokens, seed)
    return shared + own


def _make_words(tokens, seed):
    size = tokens * _BYTES_PER_TOKEN
    source = random.Random(seed)
    words = source.choices(_WORDS, k=size // 4 + 1)
    return ' '.join(words)[:size].ljust(size, '.')
