"""Idempotency keys, and a ledger that runs each of them at most once.

The caller of a non-repeatable request binds it to one process of one entry
instance.  Only this process may dispatch the key, and only once, so instances
need no coordination: after a restart, the instance has another boot id and
refuses the key.

The key contains its expiry on the clock of the process that issued the
binding.  Expired keys are always refused, so the ledger can drop a key at its
expiry without the risk that it runs again.
"""

import enum

from crankchute.errors import BadKeyError

_SEPARATOR = '.'
_PART_COUNT = 4
_MAX_ANSWER_BYTES = 65_536
_MAX_STORED_BYTES = 16_777_216


class Binding:
    """The process of an entry instance to which request keys are bound.

    Only this process may dispatch a request with such a key.
    """

    __slots__ = ('boot', 'instance')

    def __init__(self, instance, boot):
        """Create a binding.

        Args:
          instance: The instance's id, a string without a dot.
          boot: The random id of the process, a string without a dot.
        """
        self.instance = instance
        self.boot = boot

    def __eq__(self, other):
        """Return whether both identify the same process."""
        return (self.instance, self.boot) == (other.instance, other.boot)

    def __hash__(self):
        """Return a hash consistent with equality."""
        return hash((self.instance, self.boot))


class RequestKey:
    """A binding, an expiry on the binding's clock, and the caller's nonce."""

    __slots__ = ('binding', 'expiry_ms', 'nonce')

    def __init__(self, binding, expiry_ms, nonce):
        """Create a key.

        Args:
          binding: A Binding.
          expiry_ms: The expiry on the clock of the bound process, in
            milliseconds, an int.
          nonce: A string without a dot, unique for the caller.
        """
        self.binding = binding
        self.expiry_ms = expiry_ms
        self.nonce = nonce

    def __str__(self):
        """Return the serialized key."""
        parts = (
            self.binding.instance,
            self.binding.boot,
            str(self.expiry_ms),
            self.nonce,
        )
        return _SEPARATOR.join(parts)


def parse_key(text):
    """Parse a serialized key.

    Args:
      text: The result of str() of a key.
    Returns:
      A RequestKey.
    Raises:
      BadKeyError: If the text is not a valid key.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != _PART_COUNT or not all(parts):
        raise BadKeyError('a key has four parts separated by dots')
    instance, boot, expiry, nonce = parts
    if not (expiry.isascii() and expiry.isdigit()):
        raise BadKeyError('the third part of a key is its expiry, in ms')
    return RequestKey(Binding(instance, boot), int(expiry), nonce)


class Claim(enum.Enum):
    """The result of claiming a key."""

    #: The key is new; the claimer must dispatch the request now.
    FIRST = enum.auto()
    #: The request is running; waiters are notified when it ends.
    RUNNING = enum.auto()
    #: The request has ended; its answer may still be stored.
    ENDED = enum.auto()
    #: The key has expired, or its expiry is too far ahead.
    EXPIRED = enum.auto()
    #: The key is bound to another process.
    FOREIGN = enum.auto()


class LedgerEntry:
    """The state of one claimed key."""

    __slots__ = ('answer', 'ended', 'expiry_ms', 'size', 'waiters')

    def __init__(self, expiry_ms):
        """Create the entry of a request that starts.

        Args:
          expiry_ms: When the entry may be dropped.
        """
        self.expiry_ms = expiry_ms
        self.ended = False
        self.answer = None
        self.size = 0
        self.waiters = []


class KeyLedger:
    """The keys that this process has dispatched."""

    def __init__(self, binding, max_lifetime_ms):
        """Create an empty ledger.

        Args:
          binding: The Binding of this process.
          max_lifetime_ms: The longest accepted time to expiry.
        """
        self._binding = binding
        self._max_lifetime_ms = max_lifetime_ms
        self._entries = {}
        self._stored_bytes = 0

    def __len__(self):
        """Return the number of entries."""
        return len(self._entries)

    def claim(self, account, key, now_ms):
        """Claim a key for dispatch.

        Args:
          account: The client account's name.
          key: A RequestKey.
          now_ms: The time on this process's clock.
        Returns:
          A Claim.
        """
        if key.binding != self._binding:
            return Claim.FOREIGN
        if not now_ms < key.expiry_ms <= now_ms + self._max_lifetime_ms:
            return Claim.EXPIRED
        entry = self._entries.get((account, str(key)))
        if entry is None:
            entry = LedgerEntry(key.expiry_ms)
            self._entries[account, str(key)] = entry
            return Claim.FIRST
        return Claim.ENDED if entry.ended else Claim.RUNNING

    def wait(self, account, key, callback):
        """Register a callback for the end of a running request.

        Args:
          account: The client account's name.
          key: The RequestKey of a running request.
          callback: A function of the answer.
        """
        self._entries[account, str(key)].waiters.append(callback)

    def end(self, account, key, answer, size):
        """Mark a request as ended and notify its waiters.

        Args:
          account: The client account's name.
          key: A RequestKey that was claimed.
          answer: Any value; stored if it fits the size limits.
          size: The answer's size in bytes.
        """
        entry = self._entries.get((account, str(key)))
        if entry is None or entry.ended:
            return
        entry.ended = True
        if (
            size <= _MAX_ANSWER_BYTES
            and self._stored_bytes + size <= _MAX_STORED_BYTES
        ):
            entry.answer = answer
            entry.size = size
            self._stored_bytes += size
        waiters = entry.waiters
        entry.waiters = []
        for callback in waiters:
            callback(answer)

    def answer(self, account, key):
        """Return the stored answer of an ended request, or None.

        Args:
          account: The client account's name.
          key: The RequestKey of an ended request.
        """
        return self._entries[account, str(key)].answer

    def evict_expired(self, now_ms):
        """Drop the entries of ended requests whose keys have expired.

        Args:
          now_ms: The time on this process's clock.
        """
        for name, entry in tuple(self._entries.items()):
            if entry.ended and entry.expiry_ms < now_ms:
                self._stored_bytes -= entry.size
                self._entries.pop(name)
