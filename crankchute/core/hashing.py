"""Rendezvous hashing: the same choice everywhere without agreement."""

import xxhash


def rank_by_hash(key, names):
    """Order names by their hash with a key.

    When a name goes, only what it was first for moves to others.

    Args:
      key: A string.
      names: An iterable of strings.
    Returns:
      A list of the names, the first choice first.
    """
    return sorted(names, key=lambda name: _score(key, name))


def _score(key, name):
    return xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
