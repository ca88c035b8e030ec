"""What one entry instance knows of the backend servers.

The instance list says who exists and who is leaving; engines report their
load with a lag; the instance itself knows exactly what it has in flight.
"""

from collections import Counter

from crankchute.core.breaker import Breaker
from crankchute.core.labels import match_labels
from crankchute.core.ownership import Holding
from crankchute.core.prefix import PrefixKnowledge
from crankchute.core.suspicion import Suspicion

#: How old an engine's load is at most when its report arrives.
REPORT_LAG_MS = 200
LIVE = 'live'
LEAVING = 'leaving'
KIND_ENGINE = 'engine'
KIND_ENTRY = 'entry'


class Listed:
    """One instance as the platform lists it.

    Attributes:
      listed_id: The id under which it is listed and to which it answers.  It
        may start again under the same id, and then knows nothing of before.
      born: When it started, a Unix millisecond, or None if it does not tell.
      identity: What tells this start of it from all others; everything that
        is known or believed of it is kept by this.
    """

    __slots__ = (
        'address',
        'born',
        'data_centre',
        'identity',
        'kind',
        'labels',
        'listed_id',
        'state',
    )

    def __init__(self, document):
        """Create the record.

        Args:
          document: A map with `id`, `kind`, `address` ("IP:port"),
            `data_centre`, `labels` and `state`; `born` where it tells.
        """
        self.listed_id = document['id']
        self.born = document.get('born')
        self.identity = name_start(self.listed_id, self.born)
        self.kind = document['kind']
        self.address = parse_address(document['address'])
        self.data_centre = document['data_centre']
        self.labels = document.get('labels', {})
        self.state = document.get('state', LIVE)

    def restarted(self, born):
        """Return the record of a later start of the same instance.

        Args:
          born: When that was, a Unix millisecond.
        """
        host, port = self.address
        return Listed(
            {
                'id': self.listed_id,
                'kind': self.kind,
                'address': f'{host}:{port}',
                'data_centre': self.data_centre,
                'labels': self.labels,
                'state': self.state,
                'born': born,
            }
        )

    def is_older(self, other):
        """Tell whether this is an earlier start of the same instance.

        Args:
          other: A Listed with the same listed id.
        """
        if self.born is None or other.born is None:
            return False
        return self.born < other.born


def name_start(listed_id, born):
    """Return what one start of an instance is known by.

    Args:
      listed_id: The id under which the instance is listed.
      born: When it started, a Unix millisecond, or None if it does not tell.
    Returns:
      A string.
    """
    return listed_id if born is None else f'{listed_id}@{born}'


def parse_address(text):
    """Read an address.

    Args:
      text: "IP:port".
    Returns:
      A pair of IP number and port.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


class LoadReport:
    """What an engine said of itself, some time ago.

    Attributes:
      boot: The engine's incarnation.
      at_ms: When the report came, on this process's clock.
      queued_tokens: Prompt tokens that wait for prefill, an int.
      queued_by_priority: The same as pairs of priority and tokens, a tuple;
        one pair of priority 0 if the engine does not tell.
      running: How many streams it generates, an int.
      memory_free: Tokens of KV memory that are free, an int.
      memory_total: All of its KV memory, in tokens.
      prefill_rate: Prompt tokens it works off in a millisecond, a float.
      holding: The Holding.
      leaving: Whether it says that it is leaving, a bool.
      checks_fences: Whether it says that it checks fences, a bool.
    """

    __slots__ = (
        'at_ms',
        'boot',
        'checks_fences',
        'holding',
        'leaving',
        'memory_free',
        'memory_total',
        'prefill_rate',
        'queued_by_priority',
        'queued_tokens',
        'running',
    )

    def __init__(self, at_ms, document):
        """Create the record.

        Args:
          at_ms: When the report came.
          document: A map with a value for each other attribute.
        """
        self.at_ms = at_ms
        self.boot = document['boot']
        self.queued_tokens = document['queued_tokens']
        self.queued_by_priority = tuple(
            document.get('queued_by_priority', [(0, self.queued_tokens)]),
        )
        self.running = document['running']
        self.memory_free = document['memory_free']
        self.memory_total = document['memory_total']
        self.prefill_rate = document['prefill_rate']
        self.holding = Holding(
            document['models'],
            document.get('adapters', ()),
            document.get('role', ''),
        )
        self.leaving = document['leaving']
        self.checks_fences = document.get('checks_fences', True)


class Backend:
    """A backend server, as one entry instance sees it.

    Attributes:
      listed: The Listed record.
      load: The newest LoadReport, or None.
      in_flight: How many requests this instance has there, an int.
      pending_tokens: Prompt tokens this instance sent that have not led to a
        first token yet, an int.
      serving_long: How many long prompts of this instance are there.
      refused_until_ms: Until when the server asked not to be called.
      breaker: The Breaker of this instance's requests.
      suspicion: The Suspicion, by all instances' signs.
    """

    __slots__ = (
        '_pending',
        'breaker',
        'in_flight',
        'listed',
        'load',
        'pending_tokens',
        'prefix',
        'refused_until_ms',
        'serving_long',
        'suspicion',
    )

    def __init__(self, listed):
        """Create the record of a server without any load.

        Args:
          listed: A Listed.
        """
        self.listed = listed
        self.load = None
        self.in_flight = 0
        self.pending_tokens = 0
        self._pending = Counter()
        self.refused_until_ms = 0
        self.serving_long = 0
        self.breaker = Breaker()
        self.suspicion = Suspicion()
        self.prefix = PrefixKnowledge()

    @property
    def identity(self):
        """The server's id."""
        return self.listed.identity

    @property
    def is_leaving(self):
        """Whether the list or the server itself says that it is leaving."""
        if self.listed.state == LEAVING:
            return True
        return self.load is not None and self.load.leaving

    @property
    def models(self):
        """The models that the server reported, a map to versions."""
        return {} if self.load is None else self.load.holding.models

    def note_failed(self, now_ms, weight=1):
        """Note that a request of this instance failed there.

        Args:
          now_ms: The time.
          weight: How sure it is that the server is at fault, up to 1.
        """
        self.breaker.note_failure(now_ms)
        self.suspicion.note_failure(now_ms, weight)

    def note_sound(self, now_ms):
        """Note that a request of this instance was answered.

        Args:
          now_ms: The time.
        """
        self.breaker.note_success()
        self.suspicion.note_success(now_ms)

    def leave_alone(self, until_ms):
        """Note until when the server wants nothing; none is made shorter.

        Args:
          until_ms: A moment on this process's clock.
        """
        self.refused_until_ms = max(self.refused_until_ms, until_ms)

    def note_load(self, report):
        """Take a load report.

        Args:
          report: A LoadReport.
        """
        if self.load is not None and self.load.boot != report.boot:
            self.prefix.forget()
        self.load = report

    def note_sent(self, priority, tokens):
        """Note that this instance sent a prompt.

        Args:
          priority: Its priority at the engine.
          tokens: Its length.
        """
        self.pending_tokens += tokens
        self._pending[priority] += tokens

    def note_answered(self, priority, tokens):
        """Note that a prompt led to its first token, or was given up.

        Args:
          priority: Its priority at the engine.
          tokens: Its length.
        """
        self.pending_tokens -= tokens
        self._pending[priority] -= tokens

    def tokens_ahead(self, priority, now_ms):
        """Estimate the prompt tokens that would go before a new request.

        What the engine reported has been worked off since at its own rate;
        what this instance sent and has no first token of is known exactly.
        The larger of the two counts, since one includes part of the other.

        Args:
          priority: The new request's priority at the engine.
          now_ms: The time in milliseconds.
        Returns:
          A float.
        """
        load = self.load
        reported = _sum_ahead(load.queued_by_priority, priority)
        age_ms = now_ms - load.at_ms + REPORT_LAG_MS
        left = reported - load.prefill_rate * age_ms
        return max(left, _sum_ahead(self._pending.items(), priority))


class Fleet:
    """All backend servers that the platform lists.

    Attributes:
      version: Rises with each new instance list.
    """

    def __init__(self):
        """Create an empty fleet."""
        self._backends = {}
        self._members = {}
        self._reporting = {}
        self.version = 0

    def __iter__(self):
        """Iterate over the backends, leaving ones included."""
        return iter(self._backends.values())

    def __len__(self):
        """Return the number of backends."""
        return len(self._backends)

    def get(self, identity):
        """Return the Backend with an id, or None."""
        return self._backends.get(identity)

    def members_of(self, pool):
        """Return the backends that a pool's selector chooses.

        They are chosen once for each instance list and configuration.

        Args:
          pool: A Pool.
        Returns:
          A list of Backend, leaving ones included.
        """
        members = self._members.get(pool)
        if members is None:
            members = [
                backend
                for backend in self._backends.values()
                if backend.listed.kind == pool.backend_kind
                and match_labels(pool.selector, backend.listed.labels)
            ]
            self._members[pool] = members
        return members

    def reporting_of(self, pool):
        """Return the backends of a pool whose load was ever reported here.

        An instance asks a bounded number of engines, so this stays short
        when the instance list is long.

        Args:
          pool: A Pool.
        Returns:
          A list of Backend.
        """
        reporting = self._reporting.get(pool)
        if reporting is None:
            members = self.members_of(pool)
            reporting = [one for one in members if one.load is not None]
            self._reporting[pool] = reporting
        return reporting

    def note_load(self, backend, report):
        """Take a load report of a backend.

        Args:
          backend: A Backend of this fleet.
          report: A LoadReport.
        """
        if backend.load is None:
            self._reporting = {}
        backend.note_load(report)

    def replace(self, listed):
        """Take a new instance list.

        Args:
          listed: An iterable of Listed; entry instances are passed over.
        """
        known = self._backends
        self._backends = {}
        self._members = {}
        self._reporting = {}
        self.version += 1
        for record in listed:
            if record.kind == KIND_ENTRY:
                continue
            backend = known.get(record.identity)
            if backend is None or backend.listed.address != record.address:
                backend = Backend(record)
            backend.listed = record
            self._backends[record.identity] = backend


def _sum_ahead(queued, priority):
    """Sum the tokens that go before a request of a priority.

    Args:
      queued: Pairs of priority and tokens.
      priority: The request's priority.
    """
    return sum(tokens for level, tokens in queued if level <= priority)
