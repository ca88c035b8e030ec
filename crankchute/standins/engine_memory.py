"""KV memory of the engine stand-in: requests, holds and the prefix cache."""

from collections import OrderedDict

_BLOCK_TOKENS = 1024
_MAX_EVENTS = 512


class Hold:
    """Memory reserved for a group, with the results of its segments."""

    __slots__ = ('carries', 'expiry_ms', 'tokens')

    def __init__(self, tokens, expiry_ms):
        """Create a hold without segments.

        Args:
          tokens: Its size in tokens.
          expiry_ms: When the engine frees it, even without a release.
        """
        self.tokens = tokens
        self.expiry_ms = expiry_ms
        self.carries = {}


class CacheEvent:
    """A numbered change of the prefix cache."""

    __slots__ = ('at_ms', 'evicted', 'sequence', 'stored')

    def __init__(self, sequence, at_ms, stored, evicted):
        """Create the event.

        Args:
          sequence: The sequence number.
          at_ms: The time of the change in milliseconds.
          stored: Hashes of stored blocks.
          evicted: Hashes of evicted blocks.
        """
        self.sequence = sequence
        self.at_ms = at_ms
        self.stored = stored
        self.evicted = evicted


class EngineMemory:
    """Accounts for KV memory in tokens.

    Cached blocks are evicted whenever requests or holds need their memory.

    Attributes:
      total: The size of the memory in tokens.
      holds: A map from group id to Hold.
      events: The latest CacheEvents, oldest first.
    """

    def __init__(self, total, clock):
        """Create empty memory.

        Args:
          total: The size in tokens.
          clock: A Clock.
        """
        self._clock = clock
        self._allocations = {}
        self._cache = OrderedDict()
        self._sequence = 0
        self.total = total
        self.holds = {}
        self.events = []

    @property
    def pinned(self):
        """Tokens that requests and holds occupy, an int."""
        held_tokens = sum(hold.tokens for hold in self.holds.values())
        return sum(self._allocations.values()) + held_tokens

    @property
    def free_tokens(self):
        """Tokens that are free or occupied by the cache only, an int."""
        return self.total - self.pinned

    def allocate(self, key, tokens):
        """Allocate memory for a request.

        Args:
          key: The key of the request.
          tokens: The size in tokens.
        Returns:
          False if there is not enough memory.
        """
        if tokens > self.free_tokens:
            return False
        self._allocations[key] = tokens
        self._evict()
        return True

    def free(self, key):
        """Free the memory of a request, if any."""
        self._allocations.pop(key, None)

    def hold(self, group, tokens, expiry_ms):
        """Reserve memory for a group; repeating the call has no effect.

        Args:
          group: The group id.
          tokens: The size in tokens.
          expiry_ms: When the hold expires.
        Returns:
          False if there is not enough memory.
        """
        if group in self.holds:
            return True
        if tokens > self.free_tokens:
            return False
        self.holds[group] = Hold(tokens, expiry_ms)
        self._evict()
        return True

    def release(self, group):
        """Free the hold of a group, if any."""
        self.holds.pop(group, None)

    def release_expired(self):
        """Free the expired holds."""
        now_ms = self._clock.now_ms()
        for group, hold in tuple(self.holds.items()):
            if hold.expiry_ms < now_ms:
                self.holds.pop(group)

    def count_cached_tokens(self, blocks):
        """Return the length of the cached prefix of a prompt, in tokens.

        Args:
          blocks: The chained hashes of the blocks of the prompt.
        """
        count = 0
        for block in blocks:
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            count += 1
        return count * _BLOCK_TOKENS

    def store_blocks(self, blocks):
        """Cache the blocks of a prompt, as far as there is free memory.

        Args:
          blocks: The chained hashes of the blocks of the prompt.
        """
        stored = [block for block in blocks if block not in self._cache]
        for block in stored:
            self._cache[block] = True
        evicted = self._evict()
        if stored or evicted:
            self._record_event(stored, evicted)

    def _evict(self):
        capacity = self.free_tokens // _BLOCK_TOKENS
        evicted = []
        while len(self._cache) > max(capacity, 0):
            evicted.append(self._cache.popitem(last=False)[0])
        return evicted

    def _record_event(self, stored, evicted):
        self._sequence += 1
        now_ms = self._clock.now_ms()
        event = CacheEvent(self._sequence, now_ms, stored, evicted)
        self.events.append(event)
        self.events = self.events[-_MAX_EVENTS:]
