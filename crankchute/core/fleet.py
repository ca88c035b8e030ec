"""The backend servers as one entry instance sees them.

The instance list says which servers exist and which are leaving; engines
report their load with a delay; an instance counts its own requests exactly.
"""

from collections import Counter

from crankchute.core.breaker import Breaker
from crankchute.core.failure_estimator import FailureEstimator
from crankchute.core.labels import match_labels
from crankchute.core.ownership import EngineContents
from crankchute.core.prefix_index import PrefixIndex

#: The greatest age of an engine's load figures when its report arrives.
_REPORT_LAG_MS = 200
LIVE = 'live'
LEAVING = 'leaving'
KIND_ENGINE = 'engine'
KIND_ENTRY = 'entry'


class ListedServer:
    """One entry of the platform's instance list.

    Attributes:
      listed_id: The id of the entry.  An instance may restart under the same
        id, and has then lost its state.
      born: When it started, in Unix milliseconds, or None if unknown.
      identity: A key that differs for each start; state about the instance is
        kept under it.
      cold_remaining_ms: For how long it is cold from when the entry was
        written, or None if no entry of this start is known.
      revision: The revision of the entry in the store, or None if unknown.
      is_restored: Whether the entry is from a store that was restored from an
        older copy, a bool.
    """

    __slots__ = (
        'address',
        'born',
        'cold_remaining_ms',
        'data_centre',
        'identity',
        'is_restored',
        'kind',
        'labels',
        'listed_id',
        'revision',
        'state',
    )

    def __init__(self, document):
        """Create the record.

        Args:
          document: A map with `id`, `kind`, `address` ("IP:port") and
            `data_centre`; optionally `labels`, `state`, `born` and
            `cold_remaining_ms`.
        """
        self.listed_id = document['id']
        self.born = document.get('born')
        self.identity = make_identity(self.listed_id, self.born)
        self.kind = document['kind']
        self.address = parse_address(document['address'])
        self.data_centre = document['data_centre']
        self.labels = document.get('labels', {})
        self.state = document.get('state', LIVE)
        self.cold_remaining_ms = document.get('cold_remaining_ms')
        self.revision = None
        self.is_restored = False

    def copy_restarted(self, born):
        """Return the record of another start of the same instance.

        Args:
          born: The time of that start, in Unix milliseconds.
        """
        host, port = self.address
        return ListedServer(
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
        """Return whether this is an earlier start of the same instance.

        Args:
          other: A ListedServer with the same listed id.
        """
        if self.born is None or other.born is None:
            return False
        return self.born < other.born


def make_identity(listed_id, born):
    """Return the key of one start of an instance, a string.

    Args:
      listed_id: The id under which the instance is listed.
      born: When it started, in Unix milliseconds, or None if unknown.
    """
    return listed_id if born is None else f'{listed_id}@{born}'


def parse_address(text):
    """Parse an address.

    Args:
      text: "IP:port".
    Returns:
      A pair of an IP address and a port number.
    """
    host, _, port = text.rpartition(':')
    return host, int(port)


class LoadReport:
    """An engine's report of its own load.

    Attributes:
      boot: An id of the engine's process; it changes with each restart.
      at_ms: When the report arrived, on this process's clock.
      queued_tokens: Prompt tokens waiting for prefill, an int.
      queued_by_priority: The same as pairs of priority and tokens, a tuple;
        one pair of priority 0 if the engine reports no priorities.
      running: The number of streams being generated.
      memory_free: Free KV cache memory, in tokens.
      memory_total: Total KV cache memory, in tokens.
      prefill_rate: Prompt tokens processed per millisecond, a float.
      holding: The EngineContents.
      leaving: Whether the engine is leaving, a bool.
      checks_fences: Whether the engine checks fences, a bool.
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
          at_ms: When the report arrived.
          document: A map with the fields of a report.
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
        self.holding = EngineContents(
            document['models'],
            document.get('adapters', ()),
            document.get('role', ''),
        )
        self.leaving = document['leaving']
        self.checks_fences = document.get('checks_fences', True)


class Backend:
    """A backend server, as one entry instance sees it.

    Attributes:
      listed: The ListedServer record.
      load: The newest LoadReport, or None.
      in_flight: The number of this instance's requests in progress there.
      pending_tokens: Prompt tokens that this instance sent and that have not
        led to a first token yet.
      prefix: The PrefixIndex.
      long_prompt_count: The number of this instance's long prompts there.
      paused_until_ms: When requests may be sent again, after the server asked
        to be sent none.
      judged_from_ms: Failures of requests that were sent before this time do
        not count, as the path to the server was lost.
      breaker: The circuit breaker of this instance's requests.
      failure_estimator: The estimate of the server's failure rate, from the
        requests of all instances.
    """

    __slots__ = (
        '_pending',
        'breaker',
        'failure_estimator',
        'in_flight',
        'judged_from_ms',
        'listed',
        'load',
        'long_prompt_count',
        'paused_until_ms',
        'pending_tokens',
        'prefix',
    )

    def __init__(self, listed):
        """Create the record of a server that has reported no load.

        Args:
          listed: A ListedServer.
        """
        self.listed = listed
        self.load = None
        self.in_flight = 0
        self.pending_tokens = 0
        self._pending = Counter()
        self.paused_until_ms = 0
        self.judged_from_ms = 0
        self.long_prompt_count = 0
        self.breaker = Breaker()
        self.failure_estimator = FailureEstimator()
        self.prefix = PrefixIndex()

    @property
    def identity(self):
        """The key of this start of the server; see ListedServer."""
        return self.listed.identity

    @property
    def is_leaving(self):
        """Whether the instance list or the server says that it is leaving."""
        if self.listed.state == LEAVING:
            return True
        return self.load is not None and self.load.leaving

    @property
    def models(self):
        """A map from each model that the server reported to its versions."""
        return {} if self.load is None else self.load.holding.models

    def record_failed(self, now_ms, weight=1, *, sent_ms=None):
        """Record that a request of this instance failed there.

        Args:
          now_ms: The time.
          weight: How certain it is that the server is at fault, up to 1.
          sent_ms: When the request was sent, or None if it is judged anyway.
        """
        if sent_ms is not None and sent_ms < self.judged_from_ms:
            self.breaker.record_abandoned()
            return
        self.breaker.record_failure(now_ms)
        self.failure_estimator.record_failure(now_ms, weight)

    def record_silent(self, now_ms, sent_ms):
        """Record that a request of this instance waits for a silent server.

        Args:
          now_ms: The time.
          sent_ms: When the request was sent.
        """
        if sent_ms >= self.judged_from_ms:
            self.breaker.record_failure(now_ms)

    def record_overdue(self, now_ms, sent_ms):
        """Record that the first event of a request of this instance is late.

        Args:
          now_ms: The time.
          sent_ms: When the request was sent.
        """
        if sent_ms >= self.judged_from_ms:
            self.failure_estimator.record_failure(now_ms)

    def record_success(self, now_ms):
        """Record that a request of this instance succeeded there.

        Args:
          now_ms: The time.
        """
        self.breaker.record_success()
        self.failure_estimator.record_success(now_ms)

    def forget_failures(self, now_ms):
        """Discard what failures of this instance's requests suggested.

        Args:
          now_ms: The time; requests sent before it are not judged.
        """
        self.judged_from_ms = now_ms
        self.breaker = Breaker()
        self.failure_estimator.forget_local()

    def pause_until(self, until_ms):
        """Send no requests before a time; an earlier time changes nothing.

        Args:
          until_ms: A time on this process's clock.
        """
        self.paused_until_ms = max(self.paused_until_ms, until_ms)

    def record_load(self, report):
        """Store a load report, and drop prefixes from before a restart.

        Args:
          report: A LoadReport.
        """
        if self.load is not None and self.load.boot != report.boot:
            self.prefix.forget()
        self.load = report

    def record_sent(self, priority, tokens):
        """Record that this instance sent a prompt.

        Args:
          priority: Its priority at the engine.
          tokens: Its length.
        """
        self.pending_tokens += tokens
        self._pending[priority] += tokens

    def record_answered(self, priority, tokens):
        """Record that a prompt led to its first token, or was abandoned.

        Args:
          priority: Its priority at the engine.
          tokens: Its length.
        """
        self.pending_tokens -= tokens
        self._pending[priority] -= tokens

    def tokens_ahead(self, priority, now_ms):
        """Estimate the prompt tokens queued ahead of a new request, a float.

        This is the larger of two overlapping figures: the reported queue less
        what the engine has processed since, and the prompts of this instance
        that have no first token yet.

        Args:
          priority: The new request's priority at the engine.
          now_ms: The time in milliseconds.
        """
        load = self.load
        reported = _sum_ahead(load.queued_by_priority, priority)
        age_ms = now_ms - load.at_ms + _REPORT_LAG_MS
        left = reported - load.prefill_rate * age_ms
        return max(left, _sum_ahead(self._pending.items(), priority))


class Fleet:
    """The backend servers on the platform's instance list.

    Attributes:
      version: Incremented with each new instance list.
    """

    def __init__(self):
        """Create an empty fleet."""
        self._backends = {}
        self._members = {}
        self._reporting = {}
        self.version = 0

    def __iter__(self):
        """Iterate over the backends, including leaving ones."""
        return iter(self._backends.values())

    def __len__(self):
        """Return the number of backends."""
        return len(self._backends)

    def get(self, identity):
        """Return the Backend with an id, or None."""
        return self._backends.get(identity)

    def members_of(self, pool):
        """Return the backends that match a pool's selector.

        The result is cached until the next instance list or configuration.

        Args:
          pool: A Pool.
        Returns:
          A list of Backend, including leaving ones.
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
        """Return the backends of a pool that have reported a load.

        An instance polls a bounded number of engines, so the result stays
        short however long the instance list is.

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

    def record_load(self, backend, report):
        """Store a load report of a backend.

        Args:
          backend: A Backend of this fleet.
          report: A LoadReport.
        """
        if backend.load is None:
            self._reporting = {}
        backend.record_load(report)

    def replace(self, listed):
        """Replace the instance list.

        Args:
          listed: An iterable of ListedServer; entry instances are skipped.
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
    """Return the queued tokens ahead of a request of a priority.

    Args:
      queued: Pairs of priority and tokens.
      priority: The request's priority; smaller values go first.
    """
    return sum(tokens for level, tokens in queued if level <= priority)
