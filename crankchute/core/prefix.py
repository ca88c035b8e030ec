"""What is known of an engine's prefix cache, from events that have gaps.

A prompt is cut into blocks; each block's hash covers all text before it, so
one hash stands for a whole prefix.  Cache events carry a sequence number.  A
gap means that evictions may have been missed, and all knowledge is dropped.
"""

import xxhash

BLOCK_BYTES = 4096
_MOST_BLOCKS = 256
_OLDEST_KNOWLEDGE_MS = 10_000


def hash_blocks(prompt, seed):
    """Return the chained hashes of a prompt's leading blocks.

    Args:
      prompt: Bytes.
      seed: Bytes that keep models apart.
    Returns:
      A list of ints, one for each whole block, at most 256.
    """
    digest = xxhash.xxh64(seed)
    hashes = []
    whole_blocks = min(len(prompt) // BLOCK_BYTES, _MOST_BLOCKS)
    for index in range(whole_blocks):
        start = index * BLOCK_BYTES
        digest.update(prompt[start : start + BLOCK_BYTES])
        hashes.append(digest.intdigest())
    return hashes


class PrefixKnowledge:
    """The blocks that an engine is believed to hold."""

    __slots__ = ('_at_ms', '_blocks', '_sequence')

    def __init__(self):
        """Create empty knowledge."""
        self._blocks = set()
        self._sequence = None
        self._at_ms = 0

    @property
    def sequence(self):
        """The sequence number of the newest event, or None."""
        return self._sequence

    def forget(self):
        """Drop everything, as after a gap or an engine's restart."""
        self._blocks.clear()
        self._sequence = None

    def note_event(self, sequence, stored, evicted, now_ms):
        """Take one cache event.

        Args:
          sequence: The event's number, an int; numbers follow without a gap.
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
        self._at_ms = now_ms

    def note_fresh(self, now_ms):
        """Note that the engine had nothing newer to tell.

        Args:
          now_ms: The time in milliseconds.
        """
        self._at_ms = now_ms

    def count_bytes(self, hashes, now_ms):
        """Return how much of a prompt is believed to be cached.

        Args:
          hashes: What hash_blocks gave.
          now_ms: The time in milliseconds.
        Returns:
          Bytes; 0 if the knowledge is too old.
        """
        if now_ms - self._at_ms > _OLDEST_KNOWLEDGE_MS:
            return 0
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            count += 1
        return count * BLOCK_BYTES
