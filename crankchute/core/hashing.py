"""Rendezvous hashing and request fingerprints.

All instances compute the same results without coordination.
"""

from hashlib import sha256

import xxhash

#: With 1,000 stored fingerprints, about one request in 10^16 collides.
_FINGERPRINT_BYTES = 8
_LENGTH_BYTES = 8
#: In bytes; shorter beginnings are common to unrelated prompts.
_SHORTEST_BEGINNING = 256


def rank_by_hash(key, names):
    """Order names by rendezvous hashing.

    Removing a name moves only the keys that ranked it first.

    Args:
      key: A string.
      names: An iterable of strings.
    Returns:
      A list of the names, the preferred one first.
    """
    return sorted(names, key=lambda name: _hash_score(key, name))


def make_fingerprint(*parts):
    """Return a hash of a request that is equal at all instances.

    Uses a cryptographic hash: otherwise a caller could construct a request
    that collides with another caller's and gets it refused.

    Args:
      parts: Bytes that identify the request, such as the path and the body.
    Returns:
      An int of 64 bits.
    """
    digest = sha256()
    for part in parts:
        digest.update(len(part).to_bytes(_LENGTH_BYTES, 'big'))
        digest.update(part)
    return _shorten(digest)


def fingerprint_beginnings(model, prompt):
    """Return fingerprints of a prompt's beginnings, shared by other prompts.

    Args:
      model: The name of the model.
      prompt: Bytes.
    Returns:
      A tuple of ints: one for each beginning whose length is a power of two,
      from _SHORTEST_BEGINNING on, that is shorter than the prompt.
    """
    fingerprints = []
    digest = sha256(model.encode())
    start = 0
    end = _SHORTEST_BEGINNING
    while end < len(prompt):
        digest.update(prompt[start:end])
        fingerprints.append(_shorten(digest))
        start = end
        end *= 2
    return tuple(fingerprints)


def _shorten(digest):
    return int.from_bytes(digest.digest()[:_FINGERPRINT_BYTES], 'big')


def _hash_score(key, name):
    return xxhash.xxh64_intdigest(f'{key}|{name}'.encode())
