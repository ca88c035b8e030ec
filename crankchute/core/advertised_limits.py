"""Request rate limits that backend servers name in their answers.

An overloaded server names in its answers how many requests a second it accepts
from all instances together.  The limit holds until an answer names none, so it
is kept apart from the server's entry, for each start of the server, and is
shared between instances.

Answers may arrive out of order.  One that loosens the limit counts only if its
request was sent after the limit was known, since an overloaded server fails
requests of every client; one that tightens the limit counts at once.
"""

from heapq import nlargest
from operator import attrgetter

#: The shortest interval between reports of an unchanged limit to others.
_RENEW_MS = 1000
#: How long a report is sent to other instances.
_SHARE_MS = 5000
#: The most reports in one message; the newest are sent.
_MAX_SHARED = 64
#: How long the list of reports to send is cached.
_CACHE_MS = 50
#: The longest delay of a message between instances.
_MAX_DELAY_MS = 400
#: How long the report of a server is kept that sends no answers any more.
_RETENTION_MS = 600_000


class AdvertisedLimit:
    """A report of what a server said about its limit.

    Attributes:
      server: The server's id.
      limit: The accepted requests a second, a float, or None for no limit.
      at_ms: When the latest answer that says so arrived, on this process's
        clock.
      created_ms: The value of at_ms when the report was created.
      renew_until_ms: Until when a report of no limit is renewed.
      source: A key of the report that is unique among all instances.
    """

    __slots__ = (
        'at_ms',
        'limit',
        'created_ms',
        'server',
        'source',
        'renew_until_ms',
    )

    def __init__(self, server, limit, at_ms, source):
        """Create the report; see the class."""
        self.server = server
        self.limit = limit
        self.at_ms = at_ms
        self.created_ms = at_ms
        self.renew_until_ms = at_ms + _SHARE_MS
        self.source = source

    def loosens(self, other):
        """Return whether this allows more requests than another report.

        Args:
          other: An AdvertisedLimit.
        """
        if self.limit is None:
            return other.limit is not None
        return other.limit is not None and self.limit > other.limit


class AdvertisedLimits:
    """The latest report of each server's limit."""

    def __init__(self, clock, instance):
        """Create an empty collection.

        Args:
          clock: A Clock.
          instance: A string that is unique to this process.
        """
        self._clock = clock
        self._instance = instance
        self._reports = {}
        self._created = 0
        self._shared = ()
        self._shared_at_ms = float('-inf')
        self._subscribers = []

    def subscribe(self, callback):
        """Call a function when a new report should be sent without delay.

        Args:
          callback: A function without arguments.
        """
        self._subscribers.append(callback)

    def limit_of(self, server):
        """Return a server's limit in requests a second, or None.

        Args:
          server: The server's id.
        """
        report = self._reports.get(server)
        return None if report is None else report.limit

    def list_limited(self):
        """Return the reports of all servers that have a limit, a list."""
        return [one for one in self._reports.values() if one.limit is not None]

    def receive_answer(self, server, limit, sent_ms):
        """Record the limit in an answer to this instance.

        Args:
          server: The server's id.
          limit: The limit in requests a second, or None if it names none.
          sent_ms: When the request was sent, on this process's clock.
        """
        known = self._reports.get(server)
        if known is None:
            if limit is not None:
                self._publish(server, limit)
            return
        now_ms = self._clock.now_ms()
        report = AdvertisedLimit(server, limit, now_ms, known.source)
        if report.loosens(known) and sent_ms < known.at_ms:
            return
        if limit == known.limit:
            self._renew(known, now_ms)
        else:
            self._publish(server, limit)

    def merge_updates(self, reports):
        """Merge the reports of another instance.

        Args:
          reports: A list of AdvertisedLimit.
        """
        for report in reports:
            known = self._reports.get(report.server)
            if known is None or self._is_newer(report, known):
                self._reports[report.server] = report

    def list_updates(self):
        """Return the AdvertisedLimit records to send to other instances."""
        now_ms = self._clock.now_ms()
        if self._reports and now_ms - self._shared_at_ms > _CACHE_MS:
            self._shared_at_ms = now_ms
            self._shared = nlargest(
                _MAX_SHARED,
                self._list_recent(now_ms),
                key=attrgetter('at_ms'),
            )
        return self._shared

    def _list_recent(self, now_ms):
        return [
            report
            for report in self._reports.values()
            if now_ms - report.at_ms < _SHARE_MS
        ]

    def _is_newer(self, report, known):
        """Return whether a received report replaces the known one.

        The delay of the message is unknown, so a report that loosens the limit
        must be later by more than the longest delay.
        """
        if report.source == known.source:
            return False
        margin_ms = _MAX_DELAY_MS if report.loosens(known) else 0
        return report.at_ms > known.at_ms + margin_ms

    def _publish(self, server, limit):
        self._discard_expired()
        self._reports[server] = self._create_report(server, limit)
        self._shared_at_ms = float('-inf')
        for callback in self._subscribers:
            callback()

    def _renew(self, known, now_ms):
        """Extend a report that a further answer confirms.

        A report of no limit is renewed as well: the first one may be too close
        to the last report of a limit for others to accept it as newer.
        """
        if now_ms - known.created_ms < _RENEW_MS:
            known.at_ms = now_ms
        elif known.limit is not None or now_ms < known.renew_until_ms:
            # Not urgent: the report goes with the next message.
            report = self._create_report(known.server, known.limit)
            report.renew_until_ms = known.renew_until_ms
            self._reports[known.server] = report

    def _create_report(self, server, limit):
        self._created += 1
        source = f'{self._instance}-{self._created}'
        return AdvertisedLimit(server, limit, self._clock.now_ms(), source)

    def _discard_expired(self):
        now_ms = self._clock.now_ms()
        self._reports = {
            server: report
            for server, report in self._reports.items()
            if now_ms - report.at_ms < _RETENTION_MS
        }
