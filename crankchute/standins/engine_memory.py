"""The KV memory of an engine stand-in: works, holds, and cached blocks."""

from collections import OrderedDict

_BLOCK_TOKENS = 1024
_EVENTS_KEPT = 512


class Hold:
    """Memory set aside for a segment, with what was prefilled into it."""

    __slots__ = ('carries', 'expiry_ms', 'tokens')

    def __init__(self, tokens, expiry_ms):
        """Create an empty hold.

        Args:
          tokens: Its size.
          expiry_ms: When it is freed whoever made it.
        """
        self.tokens = tokens
        self.expiry_ms = expiry_ms
        self.carries = {}


class CacheEvent:
    """What changed in the prefix cache, with its number."""

    __slots__ = ('at_ms', 'evicted', 'sequence', 'stored')

    def __init__(self, sequence, at_ms, stored, evicted):
        """Create the event.

        Args:
          sequence: Its number.
          at_ms: When it happened.
          stored: Hashes of stored blocks.
          evicted: Hashes of evicted blocks.
        """
        self.sequence = sequence
        self.at_ms = at_ms
        self.stored = stored
        self.evicted = evicted


class EngineMemory:
    """Counts memory in tokens; cached blocks yield to everything else.

    Attributes:
      total: All memory, in tokens.
      holds: A map from group to Hold.
      events: The newest CacheEvents, oldest first.
    """

    def __init__(self, total, clock):
        """Create empty memory.

        Args:
          total: Its size in tokens.
          clock: A Clock.
        """
        self._clock = clock
        self._taken = {}
        self._cache = OrderedDict()
        self._sequence = 0
        self.total = total
        self.holds = {}
        self.events = []

    @property
    def pinned(self):
        """Tokens that works and holds occupy, an int."""
        held = sum(hold.tokens for hold in self.holds.values())
        return sum(self._taken.values()) + held

    @property
    def free_tokens(self):
        """Tokens that are free or cached only, an int."""
        return self.total - self.pinned

    def take(self, key, tokens):
        """Take memory for a work.

        Args:
          key: The work's key.
          tokens: How much.
        Returns:
          False if there is not enough.
        """
        if tokens > self.free_tokens:
            return False
        self._taken[key] = tokens
        self._evict()
        return True

    def free(self, key):
        """Free a work's memory."""
        self._taken.pop(key, None)

    def hold(self, group, tokens, expiry_ms):
        """Set memory aside for a group.

        Args:
          group: The group's id.
          tokens: How much.
          expiry_ms: When it is freed by itself.
        Returns:
          False if there is not enough.
        """
        if group in self.holds:
            return True
        if tokens > self.free_tokens:
            return False
        self.holds[group] = Hold(tokens, expiry_ms)
        self._evict()
        return True

    def release(self, group):
        """Free what a group holds."""
        self.holds.pop(group, None)

    def release_expired(self):
        """Free the holds whose time is over."""
        now_ms = self._clock.now_ms()
        for group, hold in tuple(self.holds.items()):
            if hold.expiry_ms < now_ms:
                self.holds.pop(group)

    def count_cached(self, blocks):
        """Return how many tokens of a prompt are cached.

        Args:
          blocks: The chained hashes of the prompt's blocks.
        """
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * _BLOCK_TOKENS

    def store_blocks(self, blocks):
        """Cache the blocks of a prompt as far as memory is free.

        Args:
          blocks: The chained hashes of the prompt's blocks.
        """
        stored = [block for block in blocks if block not in self._cache]
        for block in stored:
            self._cache[block] = True
        evicted = self._evict()
        if stored or evicted:
            self._note(stored, evicted)

    def _evict(self):
        room = self.free_tokens // _BLOCK_TOKENS
        evicted = []
        while len(self._cache) > max(room, 0):
            evicted.append(self._cache.popitem(last=False)[0])
        return evicted

    def _note(self, stored, evicted):
        self._sequence += 1
        now_ms = self._clock.now_ms()
        event = CacheEvent(self._sequence, now_ms, stored, evicted)
        self.events.append(event)
        self.events = self.events[-_EVENTS_KEPT:]
