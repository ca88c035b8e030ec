"""Reading and watching one prefix of the platform's store.

A watch answers as soon as something changed, or when its wait is over.  Each
answer proves what was current when it was asked for; a watch that hangs
proves nothing, so waits are short and guarded.

Whatever is told to listeners goes by positions (store_position): when the store
came back from an older copy all is read anew, even if it still answers a watch,
since changes of the time before have its revisions then.
"""

from http import HTTPStatus
from urllib.parse import quote

from crankchute.adapters.http_client import CallOptions, build_request
from crankchute.adapters.log import log_change
from crankchute.platform.store_pages import read_page
from crankchute.platform.store_position import era_of, read_era, revision_of
from crankchute.platform.wire import RANGE_PATH, STORE_ERA, WATCH_PATH
from crankchute.ports.http import WholeResponse

#: How long an answer may be late before the call is given up.
_SLACK_MS = 900
_CONNECT_MS = 500
#: After a single failure, which may be a connection that rested and was closed.
_FIRST_RETRY_MS = 200


class WatchPace:
    """When and how often a watch asks the store; calls have a price.

    Attributes:
      wait_ms: How long a watch waits for a change.
      is_needed: A function that tells whether this instance has to ask the
        store itself; a watch that is not needed rests.
      pause_ms: How long to do without a watch after a change, so that
        changes that come together are one call.
      is_told: A function that tells whether other instances told lately what
        this watch would.
      choose_retries: A function that returns the second and the longest pause
        between calls that fail, a pair of milliseconds; the first is short.
    """

    __slots__ = (
        'choose_retries',
        'is_needed',
        'is_told',
        'pause_ms',
        'wait_ms',
    )

    def __init__(self, **fields):
        """Create the pace.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class StoreWatch:
    """Follows one prefix and tells a listener what stands there.

    Attributes:
      on_regained: Called without arguments when calls succeed again, or None.
      failed_ms: When a call last failed, on this process's clock, or None.
      calls: How many calls were made, an int.
    """

    def __init__(self, parts, prefix, listener, pace):
        """Create a watch; start() begins it.

        Args:
          parts: An object with `http_client`, `timers` and `settings`.
          prefix: The prefix of the keys.
          listener: An object with on_entries(entries, asked_ms, at) for all
            that stands there at a position, with None for the moment of
            asking if a part of it may be older, and on_changes(entries,
            asked_ms).
          pace: A WatchPace.
        """
        self._client = parts.http_client
        self._timers = parts.timers
        self._address = parts.settings.store
        self._prefix = prefix
        self._listener = listener
        self._pace = pace
        self._is_watching = False
        self._is_resting = False
        self.on_regained = None
        self._at = None
        self._era = 0
        self._entries = []
        self._retry_ms = None
        self._guard = None
        self._call = None
        self._is_failing = False
        self.failed_ms = None
        self.calls = 0

    def start(self):
        """Read all that stands there, then watch it."""
        self._entries = []
        self._read_page(None, self._now_ms(), None)

    def resume(self, known):
        """Ask the store again if that is needed and the watch rests.

        Args:
          known: The position that is known by other ways, an int; what
            changed up to there is not asked for.
        """
        if not (self._is_resting and self._pace.is_needed()):
            return
        self._is_resting = False
        if self._at is None:
            self.start()
        else:
            self._at = max(self._at, known)
            self._watch()

    def refresh(self):
        """Ask anew if a watch waits; whatever it knows stays known."""
        if not self._is_watching:
            return
        self._guard.cancel()
        self._call.cancel()
        self._watch()

    def _now_ms(self):
        return self._timers.clock.now_ms()

    def _read_page(self, after, asked_ms, least_at):
        """Read a page; those after the first may be seconds old.

        Such pages cost a tenth, and every process of a large fleet reads
        them when it starts; what changed since is watched, or told by
        others, from the oldest page on.
        """
        path = f'{RANGE_PATH}?path-prefix={quote(self._prefix, safe="")}'
        if after is not None:
            path = f'{path}&after={quote(after, safe="")}&stale=1'

        def take(page):
            if least_at is not None and era_of(page.at) != era_of(least_at):
                self._retry('the store came back between two pages')
                return
            self._entries.extend(page.entries)
            at = page.at if least_at is None else min(page.at, least_at)
            if page.has_more:
                self._read_page(page.entries[-1].key, None, at)
                return
            self._at = at
            self._listener.on_entries(self._entries, asked_ms, at)
            self._go_on()

        self._ask(path, 0, take)

    def _go_on(self):
        """Watch again, or rest until that is needed."""
        self._is_resting = not self._pace.is_needed()
        if not self._is_resting:
            self._watch()

    def _watch(self):
        self._is_resting = False
        asked_ms = self._now_ms()
        wait_ms = self._pace.wait_ms
        path = (
            f'{WATCH_PATH}?path-prefix={quote(self._prefix, safe="")}'
            f'&after={revision_of(self._at)}&wait-ms={wait_ms}'
        )

        asked_era = era_of(self._at)

        def take(page):
            if era_of(page.at) != asked_era:
                log_change('store_came_back', prefix=self._prefix)
                self.start()
                return
            self._at = max(self._at, page.at)
            pause_ms = self._pace.pause_ms if page.entries else 0
            self._listener.on_changes(page.entries, asked_ms)
            if pause_ms:
                self._timers.after(pause_ms, self._go_on)
            else:
                self._go_on()

        self._is_watching = True
        self._ask(path, wait_ms, take)

    def _ask(self, path, wait_ms, take):
        self.calls += 1

        def on_response(status, body):
            self._is_watching = False
            self._guard.cancel()
            self._record_era(sink.headers)
            if status == HTTPStatus.GONE:
                self._at = None
                self.start()
            elif status == HTTPStatus.OK:
                self._take(take, body)
            else:
                self._retry(f'status {status}')

        def on_error(exc):
            self._is_watching = False
            self._guard.cancel()
            self._retry(str(exc))

        self._guard = self._timers.after(
            wait_ms + _SLACK_MS,
            self._on_silence,
        )
        payload = build_request('GET', self._address, path)
        sink = WholeResponse(on_response, on_error)
        self._call = self._client.send(
            self._address,
            payload,
            sink,
            CallOptions(connect_ms=_CONNECT_MS),
        )

    def _take(self, take, body):
        try:
            page = read_page(body, self._era)
        except (KeyError, TypeError, ValueError) as exc:
            self._retry(f'{type(exc).__name__}: {exc}')
            return
        self._record_sound()
        take(page)

    def _record_era(self, headers):
        """Note how often the store came back, unless an answer is silent."""
        era = read_era(headers.get(STORE_ERA))
        if era is not None:
            self._era = era

    def _on_silence(self):
        self._is_watching = False
        self._call.cancel()
        self._retry('no answer in time')

    def _record_sound(self):
        self._retry_ms = None
        if self._is_failing:
            self._is_failing = False
            log_change('store_regained', prefix=self._prefix)
            if self.on_regained is not None:
                self.on_regained()

    def _retry(self, reason):
        self.failed_ms = self._now_ms()
        if not self._is_failing:
            self._is_failing = True
            log_change('store_lost', prefix=self._prefix, reason=reason)
        second_ms, longest_ms = self._pace.choose_retries()
        resume = self._go_on
        if self._at is None:
            # Whoever knows nothing yet can serve nobody.
            second_ms = _FIRST_RETRY_MS * 2
            resume = self._start_unless_told
        pause_ms = _FIRST_RETRY_MS
        if self._retry_ms is not None:
            doubled_ms = self._retry_ms * 2
            pause_ms = min(max(doubled_ms, second_ms), longest_ms)
        self._timers.after(pause_ms, resume)
        self._retry_ms = pause_ms

    def _start_unless_told(self):
        """Read all, or rest if others told it while calls failed.

        After a loss of power of all during an outage of the store each of 72
        instances read once more what it had been told 20 ms before.
        """
        if self._pace.is_told():
            self._is_resting = True
        else:
            self.start()
