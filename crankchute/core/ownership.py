"""Orders to engines, by the one instance that owns each, safely fenced.

Ownership follows membership, so two instances may believe that they own an
engine.  An engine that checks fences keeps the highest it saw and refuses
lower ones.  For one that does not, a new owner waits until any lease of a
former owner is over before it acts, and a former owner stops when its own
lease is over; orders name the wanted state, so a late one is put right by the
next pass.
"""

OWNER_LEASE_MS = 4000


class Fence:
    """The rank of an order: a later one has a higher rank.

    Attributes:
      revision: The configuration's revision that the order follows.
      incarnation: The owner's incarnation, an int.
      sequence: The owner's own count of orders.
    """

    __slots__ = ('incarnation', 'revision', 'sequence')

    def __init__(self, revision, incarnation, sequence):
        """Create a fence.

        Args:
          revision: The configuration's revision.
          incarnation: The owner's incarnation.
          sequence: The owner's count of orders.
        """
        self.revision = revision
        self.incarnation = incarnation
        self.sequence = sequence

    def rank(self):
        """Return the fence as a list that compares."""
        return [self.revision, self.incarnation, self.sequence]


class Holding:
    """What an engine holds, or shall hold.

    Attributes:
      models: A map from model name to version.
      adapters: Names of adapters, sorted, a list.
      role: The engine's role, a string; empty if it has none.
    """

    __slots__ = ('adapters', 'models', 'role')

    def __init__(self, models, adapters=(), role=''):
        """Create the record.

        Args:
          models: A map from model name to version.
          adapters: Names of adapters.
          role: The engine's role.
        """
        self.models = dict(models)
        self.adapters = sorted(adapters)
        self.role = role

    def __eq__(self, other):
        """Return whether both hold the same."""
        return self.as_document() == other.as_document()

    def __hash__(self):
        """Return a hash that agrees with equality."""
        return hash(tuple(sorted(self.models.items())))

    def as_document(self):
        """Return the record as a JSON document."""
        return {
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
        }


class Order:
    """The wanted state of an engine.

    Attributes:
      fence: A Fence.
      wanted: A Holding.
    """

    __slots__ = ('fence', 'wanted')

    def __init__(self, fence, wanted):
        """Create an order.

        Args:
          fence: A Fence.
          wanted: A Holding.
        """
        self.fence = fence
        self.wanted = wanted


class Ownership:
    """Which engines this instance owns, and since when."""

    def __init__(self):
        """Create without any engine."""
        self._owned_since = {}
        self._sequence = 0

    def update(self, backend_id, is_owner, now_ms):
        """Note whether this instance believes that it owns an engine.

        Args:
          backend_id: The engine's id.
          is_owner: A bool.
          now_ms: The time in milliseconds.
        """
        if is_owner:
            self._owned_since.setdefault(backend_id, now_ms)
        else:
            self._owned_since.pop(backend_id, None)

    def owned(self):
        """Return the ids of the engines owned now, a sorted list."""
        return sorted(self._owned_since)

    def may_order(self, backend_id, checks_fences, now_ms):
        """Tell whether an order may be sent now.

        Args:
          backend_id: The engine's id.
          checks_fences: Whether the engine checks fences.
          now_ms: The time in milliseconds.
        """
        since_ms = self._owned_since.get(backend_id)
        if since_ms is None:
            return False
        return checks_fences or now_ms - since_ms >= OWNER_LEASE_MS

    def next_fence(self, revision, incarnation):
        """Return the fence of the next order.

        Args:
          revision: The configuration's revision in force.
          incarnation: This instance's incarnation.
        """
        self._sequence += 1
        return Fence(revision, incarnation, self._sequence)
