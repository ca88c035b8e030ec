"""Requests of the operator to evacuate data centres.

Each record holds the store position of the latest change that concerns a data
centre.  The later position takes precedence, so records of the store and of
other instances can be merged in any order and more than once.

A withdrawn evacuation stays recorded, so that an older record of another
instance cannot bring it back.
"""

#: The number of data centres that are recorded; bounds the peer messages.
MAX_DATA_CENTRES = 64
#: The longest name that is recorded, in characters.
MAX_NAME_LENGTH = 200


class Evacuation:
    """The latest known change of a request to evacuate a data centre.

    Attributes:
      data_centre: The name of the data centre.
      position: The position of the change in the history of the store, an int.
      is_evacuated: Whether the evacuation was requested, else it was
        withdrawn, a bool.
    """

    __slots__ = ('data_centre', 'is_evacuated', 'position')

    def __init__(self, data_centre, position, *, is_evacuated):
        """Create the record; see the class for the arguments."""
        self.data_centre = data_centre
        self.position = position
        self.is_evacuated = is_evacuated

    def supersedes(self, other):
        """Return whether this record replaces another one.

        Of two records at the same position the evacuation counts, so that the
        order of merging does not matter.

        Args:
          other: An Evacuation of the same data centre.
        """
        return (self.position, self.is_evacuated) > (
            other.position,
            other.is_evacuated,
        )


class EvacuationUpdate:
    """The effect of merging records.

    Attributes:
      replaced: Whether any record was added or replaced, a bool.
      changed: The Evacuations by which a request came into force or was
        withdrawn, a list.
      rejected: Pairs of an Evacuation that was not recorded and the reason, a
        list.
    """

    __slots__ = ('changed', 'rejected', 'replaced')

    def __init__(self):
        """Create the update without any effect."""
        self.replaced = False
        self.changed = []
        self.rejected = []


class Evacuations:
    """The requests to evacuate data centres, as known to one instance.

    Attributes:
      is_enabled: Whether such requests are read and heeded at all, a bool.
      is_known: Whether the requests are known, a bool: from a complete read of
        the store, or from another instance that knows them.
      evacuated: The names of the evacuated data centres, a frozenset.
      records: A tuple of all Evacuations, for other instances.
      revision: Increases whenever the result of excludes() may change.
    """

    __slots__ = (
        '_by_name',
        '_withdrawn_ms',
        'evacuated',
        'is_enabled',
        'is_known',
        'records',
        'revision',
    )

    def __init__(self, *, is_enabled):
        """Create an instance without records.

        Args:
          is_enabled: See the class.
        """
        self.is_enabled = is_enabled
        self.is_known = False
        self.evacuated = frozenset()
        self.records = ()
        self.revision = 0
        self._by_name = {}
        self._withdrawn_ms = {}

    @property
    def is_ready(self):
        """Whether it can be told which servers may get requests, a bool."""
        return self.is_known or not self.is_enabled

    def record_known(self):
        """Record that the requests are known.

        Returns:
          Whether they were not known before.
        """
        is_first = not self.is_known
        self.is_known = True
        self.revision += is_first
        return is_first

    def excludes(self, data_centre):
        """Return whether servers of a data centre get no new requests.

        No server gets any until the evacuations are known.

        Args:
          data_centre: The name of the data centre.
        """
        return data_centre in self.evacuated or not self.is_ready

    def withdrawn_ms(self, data_centre):
        """Return when an evacuation was withdrawn at this instance, or None.

        It is None while the data centre is evacuated, and for a withdrawal
        that this process learnt with the first records it received.

        Args:
          data_centre: The name of the data centre.
        """
        return self._withdrawn_ms.get(data_centre)

    def replace_all(self, records, position, now_ms):
        """Merge all requests that the store holds at a position.

        Evacuations that are missing are withdrawn at that position.

        Args:
          records: A list of Evacuation.
          position: The position of the read, an int.
          now_ms: The current time on this process's clock.
        Returns:
          An EvacuationUpdate.
        """
        present = {record.data_centre for record in records}
        missing = [
            Evacuation(data_centre, position, is_evacuated=False)
            for data_centre in self.evacuated
            if data_centre not in present
        ]
        # Withdrawn ones first, since they may make room for the others.
        return self.merge([*missing, *records], now_ms)

    def merge(self, records, now_ms):
        """Merge records of the store or of another instance.

        Args:
          records: A list of Evacuation.
          now_ms: The current time on this process's clock.
        Returns:
          An EvacuationUpdate.
        """
        update = EvacuationUpdate()
        for received in records:
            self._merge_one(received, now_ms, update)
        if update.replaced:
            self.revision += 1
            self.records = tuple(self._by_name.values())
            self.evacuated = frozenset(
                record.data_centre
                for record in self.records
                if record.is_evacuated
            )
        return update

    def _merge_one(self, record, now_ms, update):
        known = self._by_name.get(record.data_centre)
        if known is None:
            fault = self._find_fault(record)
            if fault is not None:
                update.rejected.append((record, fault))
                return
        elif not record.supersedes(known):
            return
        was_evacuated = known is not None and known.is_evacuated
        if record.is_evacuated != was_evacuated:
            update.changed.append(record)
        self._by_name[record.data_centre] = record
        update.replaced = True
        if record.is_evacuated:
            self._withdrawn_ms.pop(record.data_centre, None)
        elif known is not None or self.is_known:
            # Also if the request itself was missed.
            self._withdrawn_ms[record.data_centre] = now_ms

    def _find_fault(self, record):
        """Return why a new data centre cannot be recorded, or None."""
        if not record.data_centre:
            return 'names no data centre'
        if len(record.data_centre) > MAX_NAME_LENGTH:
            return f'the name is longer than {MAX_NAME_LENGTH} characters'
        if len(self._by_name) >= MAX_DATA_CENTRES and not self._evict():
            return f'more than {MAX_DATA_CENTRES} data centres are evacuated'
        return None

    def _evict(self):
        """Remove the oldest withdrawn record; return whether there was one."""
        withdrawn = [
            record
            for record in self._by_name.values()
            if not record.is_evacuated
        ]
        if not withdrawn:
            return False
        oldest = min(withdrawn, key=lambda record: record.position)
        self._by_name.pop(oldest.data_centre)
        self._withdrawn_ms.pop(oldest.data_centre, None)
        return True
