"""Data classes for the messages between instances."""


class WorkChange:
    """A state change of a WorkItem."""

    __slots__ = ('change', 'work')

    def __init__(self, change, work):
        """Create the record of a change.

        Args:
          change: A Change.
          work: A WorkItem.
        """
        self.change = change
        self.work = work


class WorkBatch:
    """Changes of an instance's own work, addressed to one peer.

    Attributes:
      number: A sequence number per peer, from 1; a batch without changes
        repeats the number of the previous one.
      is_snapshot: Whether this is a snapshot of all work of the sender, which
        replaces what was sent before, a bool.
      changes: A list of WorkChange.
    """

    __slots__ = ('changes', 'is_snapshot', 'number')

    def __init__(self, number, changes, *, is_snapshot=False):
        """Create the batch.

        Args:
          number: An int.
          changes: A list of WorkChange.
          is_snapshot: A bool.
        """
        self.number = number
        self.changes = changes
        self.is_snapshot = is_snapshot


class ServerHealth:
    """The health of a backend server, from one instance's own requests.

    Attributes:
      server: The server's id.
      signs: The OutcomeCounts of those requests.
    """

    __slots__ = ('server', 'signs')

    def __init__(self, server, signs):
        """Create the record of a server.

        Args:
          server: A string.
          signs: OutcomeCounts.
        """
        self.server = server
        self.signs = signs


class PeerMessage:
    """The state that an instance sends to a peer.

    Attributes:
      instance: The sender's id.
      boot: The random id of the sender's process.
      is_serving: Whether clients may be sent to the sender.
      version: The version of the sender's configuration, an int.
      proof_age_ms: How long ago that version was confirmed to be the newest,
        or None.
      servers_revision: The revision of the sender's backend server list, an
        int.
      servers_age_ms: How long ago that revision was confirmed to be the
        newest, or None.
      active: The Members that the sender considers active; empty if the
        receiver last reported the same digest.
      digest: A hash that identifies the sender's list of active instances.
      draining_servers: Ids of backend servers that are draining.
      removed_servers: Ids of backend servers whose entries were recently
        deleted.
      server_health: A list of ServerHealth, for servers that seem unhealthy.
      limits: AdvertisedLimit records, for servers that recently announced or
        withdrew a limit.
      evacuations: The Evacuations that the sender knows, a tuple.
      knows_evacuations: Whether these are complete, a bool.
      lost_pools: The names of the pools whose servers the sender does not
        reach, but others do, a tuple; optional.
      subscribes_to_work: Whether the sender subscribes to the receiver's work,
        a bool.
      needs_snapshot: Whether the sender needs a snapshot of it, a bool.
      batch: A WorkBatch.
      crash_digest: A hash that identifies the crashes that the sender
        remembers.
      crashes: CrashReport, or None if the receiver last reported the same
        digest.
    """

    __slots__ = (
        'active',
        'batch',
        'boot',
        'crash_digest',
        'crashes',
        'digest',
        'draining_servers',
        'evacuations',
        'instance',
        'is_serving',
        'knows_evacuations',
        'limits',
        'lost_pools',
        'needs_snapshot',
        'proof_age_ms',
        'removed_servers',
        'server_health',
        'servers_age_ms',
        'servers_revision',
        'subscribes_to_work',
        'version',
    )

    def __init__(self, **fields):
        """Create the message.

        Args:
          fields: A value for each attribute.
        """
        fields = {'lost_pools': (), **fields}
        for name in self.__slots__:
            setattr(self, name, fields[name])
