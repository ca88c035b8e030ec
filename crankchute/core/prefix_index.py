"""Index of an engine's prefix cache, built from its cache events.

A prompt is split into blocks.  The hash of a block covers all text up to its
end, so it identifies a whole prefix.  Cache events have sequence numbers; a
gap may hide evictions, so it clears the index.
"""

import xxhash

BLOCK_BYTES = 4096
_MAX_BLOCKS = 256
_MAX_AGE_MS = 10_000


def hash_blocks(prompt, seed):
    """Return the chained hashes of a prompt's leading blocks.

    Args:
      prompt: Bytes.
      seed: Bytes that distinguish models.
    Returns:
      A list of ints, one for each complete block, at most 256.
    """
    digest = xxhash.xxh64(seed)
    hashes = []
    whole_blocks = min(len(prompt) // BLOCK_BYTES, _MAX_BLOCKS)
    for index in range(whole_blocks):
        start = index * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes


class PrefixIndex:
    """The blocks in an engine's cache, according to its events."""

    __slots__ = ('_blocks', '_sequence', '_updated_ms')

    def __init__(self):
        """Create an empty index."""
        self._blocks = set()
        self._sequence = None
        self._updated_ms = 0

    @property
    def sequence(self):
        """The sequence number of the latest event, or None."""
        return self._sequence

    def forget(self):
        """Clear the index, as after an engine's restart."""
        self._blocks.clear()
        self._sequence = None

    def record_event(self, sequence, stored, evicted, now_ms):
        """Apply a cache event.

        Args:
          sequence: The event's sequence number, an int; consecutive.
          stored: Hashes of blocks that were stored.
          evicted: Hashes of blocks that were evicted.
          now_ms: The time in milliseconds.
        """
        if self._sequence is not None and sequence <= self._sequence:
            return
        if self._sequence is not None and sequence != self._sequence + 1:
            self._blocks.clear()
        self._sequence = sequence
        self._blocks.update(stored)
        self._blocks.difference_update(evicted)
        self._updated_ms = now_ms

    def record_up_to_date(self, now_ms):
        """Record that the engine has no newer events.

        Args:
          now_ms: The time in milliseconds.
        """
        self._updated_ms = now_ms

    def count_bytes(self, hashes, now_ms):
        """Return the length of a prompt's cached prefix.

        Args:
          hashes: The result of hash_blocks.
          now_ms: The time in milliseconds.
        Returns:
          Bytes; 0 if the index is too old.
        """
        if now_ms - self._updated_ms > _MAX_AGE_MS:
            return 0
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_BYTES
