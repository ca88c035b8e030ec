"""Reads and watches the keys under one prefix of the platform's store.

A watch is a long poll: the store responds on a change or after the requested
wait.  A response proves that the data was current when the call was sent; a
pending call proves nothing, so waits are short and have a timeout.

Listeners get positions (see store_position) instead of revisions.  After the
store was restored from an older snapshot its revisions mean other changes than
before, so everything is read again, even if the watch still succeeds.
"""

from http import HTTPStatus
from urllib.parse import quote

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request
from crankchute.adapters.log import log_change
from crankchute.core.reread_delay import RereadDelay
from crankchute.platform.store_pages import PagedRead, decode_page
from crankchute.platform.store_position import era_of, parse_era, revision_of
from crankchute.platform.wire import RANGE_PATH, STORE_ERA, WATCH_PATH
from crankchute.ports.http import WholeResponse

#: How long a call may take in addition to the wait that it asks for.
_TIMEOUT_SLACK_MS = 900
_CONNECT_MS = 500
#: Short, as a single failure may be an idle connection that was closed.
_FIRST_RETRY_MS = 200


class WatchPolicy:
    """When and how often a watch calls the store.

    Attributes:
      wait_ms: How long a call waits for a change.
      is_needed: A function that returns whether this instance has to call the
        store itself; otherwise the watch is idle.
      batch_ms: The delay after a change before the next call, so that changes
        in quick succession arrive in one response.
      is_fresh: A function that returns whether other instances recently
        provided the data of this watch.
      choose_retry_delays: A function that returns the second and the longest
        delay between failing calls, a pair of milliseconds; the first delay is
        fixed.
    """

    __slots__ = (
        'batch_ms',
        'choose_retry_delays',
        'is_fresh',
        'is_needed',
        'wait_ms',
    )

    def __init__(self, **fields):
        """Create the policy.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class StoreWatch:
    """Watches one prefix and passes its entries to a listener.

    Attributes:
      on_recovered: Called without arguments when calls succeed again, or None.
      last_failure_ms: When a call last failed, on this process's clock, or
        None.
      calls: How many calls were sent, an int.
    """

    def __init__(self, parts, prefix, listener, policy):
        """Create a watch; start() begins it.

        Args:
          parts: An object with `http_client`, `timers` and `settings`.
          prefix: The prefix of the keys.
          listener: An object with on_entries(entries, sent_ms, position) for
            all entries at a position, where sent_ms is None if some pages may
            be stale, and on_changes(entries, sent_ms).
          policy: A WatchPolicy.
        """
        self._client = parts.http_client
        self._timers = parts.timers
        self._address = parts.settings.store
        self._prefix = prefix
        self._listener = listener
        self._policy = policy
        self._is_watching = False
        self._is_idle = False
        self.on_recovered = None
        self._position = None
        self._era = 0
        self._may_read_stale = True
        self._reread_delay = RereadDelay()
        self._retry_ms = None
        self._timeout = None
        self._call = None
        self._is_failing = False
        self.last_failure_ms = None
        self.calls = 0

    def start(self):
        """Read all entries, then watch for changes."""
        self._read_page(PagedRead(self._now_ms()))

    def resume(self, known):
        """Call the store again if the watch is idle and now needed.

        Args:
          known: The position up to which changes are known from other
            instances, an int.
        """
        if not (self._is_idle and self._policy.is_needed()):
            return
        self._is_idle = False
        if self._position is None:
            self.start()
        else:
            self._position = max(self._position, known)
            self._watch()

    def refresh(self):
        """Replace the pending watch call, if any, by a new one."""
        if not self._is_watching:
            return
        self._timeout.cancel()
        self._call.cancel()
        self._watch()

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _read_page(self, read):
        """Read a page; the first time those after the first may be seconds old.

        Stale reads cost the store a tenth, which matters when a large fleet
        starts.  Changes since the oldest page arrive with the watch or from
        other instances.  When the watch could not be continued, that is not so:
        the history of those changes may be gone.

        Args:
          read: The PagedRead so far.
        """
        path = f'{RANGE_PATH}?path-prefix={quote(self._prefix, safe="")}'
        is_stale = read.last_key is not None and self._may_read_stale
        if read.last_key is not None:
            path = f'{path}&after={quote(read.last_key, safe="")}'
        if is_stale:
            path = f'{path}&stale=1'

        def on_page(page):
            if not read.is_continued_by(page):
                self._may_read_stale = False
                self._retry('the store was restored between two pages')
                return
            read.add(page, is_stale=is_stale)
            if page.has_more:
                self._read_page(read)
                return
            self._position = read.position
            self._listener.on_entries(read.entries, read.sent_ms, read.position)
            self._watch_if_needed()

        self._send(path, 0, on_page)

    def _read_again(self):
        """Read all entries because the watch cannot be continued."""
        self._position = None
        self._may_read_stale = False
        _second_ms, longest_ms = self._policy.choose_retry_delays()
        wait_ms = self._reread_delay.next_ms(self._now_ms(), longest_ms)
        if wait_ms:
            self._timers.after(wait_ms, self.start)
        else:
            self.start()

    def _watch_if_needed(self):
        self._is_idle = not self._policy.is_needed()
        if not self._is_idle:
            self._watch()

    def _watch(self):
        self._is_idle = False
        sent_ms = self._now_ms()
        wait_ms = self._policy.wait_ms
        path = (
            f'{WATCH_PATH}?path-prefix={quote(self._prefix, safe="")}'
            f'&after={revision_of(self._position)}&wait-ms={wait_ms}'
        )

        sent_era = era_of(self._position)

        def on_page(page):
            if era_of(page.position) != sent_era:
                log_change('store_came_back', prefix=self._prefix)
                self._read_again()
                return
            self._reread_delay.reset()
            self._position = max(self._position, page.position)
            batch_ms = self._policy.batch_ms if page.entries else 0
            self._listener.on_changes(page.entries, sent_ms)
            if batch_ms:
                self._timers.after(batch_ms, self._watch_if_needed)
            else:
                self._watch_if_needed()

        self._is_watching = True
        self._send(path, wait_ms, on_page)

    def _send(self, path, wait_ms, on_page):
        self.calls += 1

        def on_response(status, body):
            self._is_watching = False
            self._timeout.cancel()
            self._update_era(sink.headers)
            if status == HTTPStatus.GONE:
                log_change('store_history_gone', prefix=self._prefix)
                self._read_again()
            elif status == HTTPStatus.OK:
                self._decode(on_page, body)
            else:
                self._retry(f'status {status}')

        def on_error(exc):
            self._is_watching = False
            self._timeout.cancel()
            self._retry(str(exc))

        self._timeout = self._timers.after(
            wait_ms + _TIMEOUT_SLACK_MS,
            self._on_timeout,
        )
        payload = build_request('GET', self._address, path)
        sink = WholeResponse(on_response, on_error)
        self._call = self._client.send(
            self._address,
            payload,
            sink,
            CallOptions(connect_ms=_CONNECT_MS),
        )

    def _decode(self, on_page, body):
        try:
            page = decode_page(body, self._era)
        except (KeyError, TypeError, ValueError) as exc:
            self._retry(f'{type(exc).__name__}: {exc}')
            return
        self._note_success()
        on_page(page)

    def _update_era(self, headers):
        """Store the era that a response names; keep the old one without."""
        era = parse_era(headers.get(STORE_ERA))
        if era is not None:
            self._era = era

    def _on_timeout(self):
        self._is_watching = False
        self._call.cancel()
        self._retry('timed out')

    def _note_success(self):
        self._retry_ms = None
        if self._is_failing:
            self._is_failing = False
            log_change('store_regained', prefix=self._prefix)
            if self.on_recovered is not None:
                self.on_recovered()

    def _retry(self, reason):
        self.last_failure_ms = self._now_ms()
        if not self._is_failing:
            self._is_failing = True
            log_change('store_lost', prefix=self._prefix, reason=reason)
        second_ms, longest_ms = self._policy.choose_retry_delays()
        resume = self._watch_if_needed
        if self._position is None:
            # Retries early, as the instance cannot serve before the first read.
            second_ms = _FIRST_RETRY_MS * 2
            resume = self._start_unless_fresh
        delay_ms = _FIRST_RETRY_MS
        if self._retry_ms is not None:
            doubled_ms = self._retry_ms * 2
            delay_ms = min(max(doubled_ms, second_ms), longest_ms)
        self._timers.after(delay_ms, resume)
        self._retry_ms = delay_ms

    def _start_unless_fresh(self):
        """Read all entries unless other instances provided them meanwhile.

        Otherwise all instances that restarted during an outage of the store
        would read it at once when it recovers.
        """
        if self._policy.is_fresh():
            self._is_idle = True
        else:
            self.start()
