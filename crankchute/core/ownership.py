"""Ownership of engines and fencing of the orders to them.

One instance owns each engine and sends its orders.  Ownership follows
membership, so two instances may temporarily consider themselves the owner.
An engine that supports fencing tokens rejects orders with a lower token than
the highest it has seen.  For other engines, a new owner waits until the lease
of a previous owner has expired, and a previous owner stops at the end of its
lease.  Orders are declarative, so the next reconciliation corrects the effect
of a delayed one.
"""

#: How long a new owner waits before its first order to an engine without
#: fencing.
OWNER_LEASE_MS = 4000


class Fence:
    """A fencing token; later orders have higher ones.

    Attributes:
      revision: The configuration revision of the order.
      incarnation: The owner's incarnation, an int.
      sequence: The sequence number among the owner's orders.
    """

    __slots__ = ('incarnation', 'revision', 'sequence')

    def __init__(self, revision, incarnation, sequence):
        """Create a fencing token.

        Args:
          revision: The configuration revision.
          incarnation: The owner's incarnation.
          sequence: The sequence number among the owner's orders.
        """
        self.revision = revision
        self.incarnation = incarnation
        self.sequence = sequence

    def rank(self):
        """Return the token as a list that can be compared."""
        return [self.revision, self.incarnation, self.sequence]


class EngineContents:
    """The loaded or wanted models, adapters and role of an engine.

    Attributes:
      models: A map from model name to version.
      adapters: A sorted list of adapter names.
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
        """Return whether both records are equal."""
        return self.as_document() == other.as_document()

    def __hash__(self):
        """Return a hash consistent with equality."""
        return hash(tuple(sorted(self.models.items())))

    def as_document(self):
        """Return the record as a JSON document."""
        return {
            'models': self.models,
            'adapters': self.adapters,
            'role': self.role,
        }


class Order:
    """An order to an engine: its wanted state.

    Attributes:
      fence: A Fence.
      wanted: An EngineContents.
    """

    __slots__ = ('fence', 'wanted')

    def __init__(self, fence, wanted):
        """Create an order.

        Args:
          fence: A Fence.
          wanted: An EngineContents.
        """
        self.fence = fence
        self.wanted = wanted


class Ownership:
    """The engines that this instance owns."""

    def __init__(self):
        """Create the record without engines."""
        self._owned_since = {}
        self._sequence = 0

    def update(self, backend_id, is_owner, now_ms):
        """Record whether this instance considers itself an engine's owner.

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
        """Return the ids of the owned engines, a sorted list."""
        return sorted(self._owned_since)

    def may_order(self, backend_id, checks_fences, now_ms):
        """Return whether an order may be sent now.

        Args:
          backend_id: The engine's id.
          checks_fences: Whether the engine supports fencing tokens.
          now_ms: The time in milliseconds.
        """
        since_ms = self._owned_since.get(backend_id)
        if since_ms is None:
            return False
        return checks_fences or now_ms - since_ms >= OWNER_LEASE_MS

    def next_fence(self, revision, incarnation):
        """Return the fencing token of the next order.

        Args:
          revision: The active configuration revision.
          incarnation: This instance's incarnation.
        """
        self._sequence += 1
        return Fence(revision, incarnation, self._sequence)
