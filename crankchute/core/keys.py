"""Keys of requests that may run once, and the ledger that enforces it.

A request that is not repeatable is bound by its caller to one incarnation of
one entry instance.  Only that incarnation may dispatch the key, and only once.
No agreement between instances is needed: another incarnation of the same
instance has another boot id and refuses the key.

The key carries its expiry on the clock of the incarnation that issued the
binding.  An expired key is always refused, so the ledger may forget a key at
its expiry without ever running it twice.
"""

import enum

from crankchute.errors import BadKeyError

_SEPARATOR = '.'
_PART_COUNT = 4
_KEEP_BYTES = 65_536
_KEEP_TOTAL_BYTES = 16_777_216


class Binding:
    """One incarnation of one entry instance."""

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
        """Return whether both name the same incarnation."""
        return (self.instance, self.boot) == (other.instance, other.boot)

    def __hash__(self):
        """Return a hash that agrees with equality."""
        return hash((self.instance, self.boot))


class RequestKey:
    """A binding, an expiry on the binding's clock, and the caller's nonce."""

    __slots__ = ('binding', 'expiry_ms', 'nonce')

    def __init__(self, binding, expiry_ms, nonce):
        """Create a key.

        Args:
          binding: A Binding.
          expiry_ms: The last millisecond at which the key may start, on the
            clock of the bound incarnation, an int.
          nonce: A string without a dot, unique for the caller.
        """
        self.binding = binding
        self.expiry_ms = expiry_ms
        self.nonce = nonce

    def __str__(self):
        """Return the key as it is sent."""
        parts = (
            self.binding.instance,
            self.binding.boot,
            str(self.expiry_ms),
            self.nonce,
        )
        return _SEPARATOR.join(parts)


def parse_key(text):
    """Read a key.

    Args:
      text: What str() of a RequestKey gave.
    Returns:
      A RequestKey.
    Raises:
      BadKeyError: If the text is not a key.
    """
    parts = text.split(_SEPARATOR)
    if len(parts) != _PART_COUNT or not all(parts):
        raise BadKeyError('a key has four parts separated by dots')
    instance, boot, expiry, nonce = parts
    if not (expiry.isascii() and expiry.isdigit()):
        raise BadKeyError('the third part of a key is its expiry, in ms')
    return RequestKey(Binding(instance, boot), int(expiry), nonce)


class Claim(enum.Enum):
    """What the ledger says of a submitted key."""

    #: The caller of the ledger must dispatch the request now, once.
    FIRST = enum.auto()
    #: The request is running; its end will be told to those who wait.
    RUNNING = enum.auto()
    #: The request has ended; the ledger may still hold the answer.
    ENDED = enum.auto()
    #: The key is past its expiry, or has one too far ahead.
    EXPIRED = enum.auto()
    #: The key belongs to another incarnation.
    FOREIGN = enum.auto()


class LedgerEntry:
    """What is remembered of one key until its expiry."""

    __slots__ = ('answer', 'ended', 'expiry_ms', 'size', 'waiters')

    def __init__(self, expiry_ms):
        """Create the entry of a request that starts.

        Args:
          expiry_ms: When the entry may be forgotten.
        """
        self.expiry_ms = expiry_ms
        self.ended = False
        self.answer = None
        self.size = 0
        self.waiters = []


class KeyLedger:
    """The keys that this incarnation has dispatched."""

    def __init__(self, binding, longest_ms):
        """Create an empty ledger.

        Args:
          binding: The Binding of this incarnation.
          longest_ms: The longest life of a key, in milliseconds.
        """
        self._binding = binding
        self._longest_ms = longest_ms
        self._entries = {}
        self._kept_bytes = 0

    def __len__(self):
        """Return how many keys are remembered."""
        return len(self._entries)

    def claim(self, account, key, now_ms):
        """Decide what is to be done with a submission.

        Args:
          account: The client account's name.
          key: A RequestKey.
          now_ms: The time on this incarnation's clock.
        Returns:
          A Claim.
        """
        if key.binding != self._binding:
            return Claim.FOREIGN
        if not now_ms < key.expiry_ms <= now_ms + self._longest_ms:
            return Claim.EXPIRED
        entry = self._entries.get((account, str(key)))
        if entry is None:
            entry = LedgerEntry(key.expiry_ms)
            self._entries[account, str(key)] = entry
            return Claim.FIRST
        return Claim.ENDED if entry.ended else Claim.RUNNING

    def wait(self, account, key, callback):
        """Ask to be told the end of a running request.

        Args:
          account: The client account's name.
          key: A RequestKey that is running.
          callback: A function of the answer.
        """
        self._entries[account, str(key)].waiters.append(callback)

    def end(self, account, key, answer, size):
        """Note the end of a request and tell those who wait.

        Args:
          account: The client account's name.
          key: A RequestKey that was claimed first.
          answer: Any value; kept if it is small enough.
          size: The answer's size in bytes.
        """
        entry = self._entries.get((account, str(key)))
        if entry is None or entry.ended:
            return
        entry.ended = True
        if size <= _KEEP_BYTES and self._kept_bytes + size <= _KEEP_TOTAL_BYTES:
            entry.answer = answer
            entry.size = size
            self._kept_bytes += size
        waiters = entry.waiters
        entry.waiters = []
        for callback in waiters:
            callback(answer)

    def answer(self, account, key):
        """Return the kept answer of an ended request, or None.

        Args:
          account: The client account's name.
          key: A RequestKey that has ended.
        """
        return self._entries[account, str(key)].answer

    def forget_expired(self, now_ms):
        """Forget ended keys past their expiry; claim refuses them anyway.

        Args:
          now_ms: The time on this incarnation's clock.
        """
        for name, entry in tuple(self._entries.items()):
            if entry.ended and entry.expiry_ms < now_ms:
                self._kept_bytes -= entry.size
                self._entries.pop(name)
