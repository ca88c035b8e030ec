"""Callers and a server with a given working time, on a simulated clock."""

import enum
from http import HTTPStatus
from urllib.parse import parse_qs, urlsplit

from crankchute.adapters.forward_server import ForwardServer
from crankchute.adapters.http_intake import DEFAULT_LIMITS, IntakeLimits
from crankchute.adapters.loop import Loop
from crankchute.platform.wire import REQUEST_ID, SIGNATURE
from crankchute.ports.time import Clock
from crankchute.standins.ports import LOOPBACK

_IDLE_MS = 60_000
_STEP_MS = 4
_EVENT_INTERVAL_MS = 100
_READ_SIZE = 65_536
_DEFAULT_SIZE = '4'
#: Limits of servers, which accept larger heads than instances.
_LIMITS = IntakeLimits(
    max_header_bytes=2 * DEFAULT_LIMITS.max_header_bytes,
    max_body_bytes=DEFAULT_LIMITS.max_body_bytes,
    header_timeout_ms=DEFAULT_LIMITS.header_timeout_ms,
    body_rate=DEFAULT_LIMITS.body_rate,
)


class Ending(enum.Enum):
    """What a caller received for a request."""

    WHOLE = 'whole'
    NOT_RUN = 'not run'
    FAILED = 'failed'
    #: The connection ended without a complete response.
    CUT = 'cut'


class StepClock(Clock):
    """A clock that a test advances.

    Attributes:
      time_ms: The time.
    """

    def __init__(self):
        """Start the clock at zero."""
        self.time_ms = float(0)

    def now_ms(self):
        """See Clock."""
        return self.time_ms

    def advance(self, delay_ms):
        """Advance the clock, and return the new time."""
        self.time_ms += delay_ms
        return self.time_ms


class SteppedLoop(Loop):
    """A loop whose clock advances by a fixed step for each iteration.

    What happens on it depends neither on the speed of the machine nor on
    pauses of the process.
    """

    def __init__(self):
        """Create the loop at time zero."""
        super().__init__(StepClock())

    def tick(self, timeout=-1):
        """Advance the clock, and run an iteration.

        Args:
          timeout: The longest wait for sockets, in seconds.
        """
        self.clock.time_ms += _STEP_MS
        super().tick(timeout)


class PacedServer:
    """A server that works for as long as each request's query says.

    Attributes:
      runs: The ids of the requests that it began to process, a set.
    """

    def __init__(self, loop):
        """Start the server.

        Args:
          loop: The Loop.
        """
        self._timers = loop.timers
        self._server = ForwardServer(
            (LOOPBACK, 0),
            self._on_request,
            loop.timers,
            channel='paced',
            idle_ms=_IDLE_MS,
        ).register(loop)
        self._server.limits = _LIMITS
        self.runs = set()

    @property
    def address(self):
        """The address that it listens on, "IP:port"."""
        return f'{LOOPBACK}:{self._server.port}'

    def _on_request(self, exchange):
        request_id = exchange.header(REQUEST_ID)
        self.runs.add(request_id)
        headers = [(REQUEST_ID, request_id), (SIGNATURE, 'signed')]
        target = urlsplit(exchange.target)
        query_fields = parse_qs(target.query)
        takes_ms = int(query_fields['ms'][0])
        size = int(query_fields.get('size', _DEFAULT_SIZE)[0])
        if target.path.startswith('/stream/'):
            exchange.start(HTTPStatus.OK, headers)
            self._send_event(exchange, takes_ms, 0)
            return
        timer = self._timers.after(
            takes_ms,
            lambda: exchange.reply(HTTPStatus.OK, bytes(size), headers),
        )
        exchange.on_gone = timer.cancel

    def _send_event(self, exchange, left_ms, number):
        exchange.send(b'id: %d\ndata: piece\n\n' % number)
        if left_ms <= 0:
            exchange.finish()
            return
        pause_ms = min(left_ms, _EVENT_INTERVAL_MS)
        timer = self._timers.after(
            pause_ms,
            lambda: self._send_event(exchange, left_ms - pause_ms, number + 1),
        )
        exchange.on_gone = timer.cancel


class Caller:
    """A request of a caller.

    Attributes:
      request_id: The request's id, a string.
      sent_ms: When it was sent, in milliseconds after the signal.
      ending: An Ending, or None while the caller waits.
      reads: Whether the caller reads what arrives, a bool.
    """

    def __init__(self, sock, request_id, sent_ms):
        """Wait for the response to a request.

        Args:
          sock: The connection on which it was sent.
          request_id: A string.
          sent_ms: See the class.
        """
        self.sock = sock
        self.request_id = request_id
        self.sent_ms = sent_ms
        self.ending = None
        self.reads = True
        self._received = b''

    @property
    def head(self):
        """The head of the response as far as it has arrived, a string."""
        return self._received.partition(b'\r\n\r\n')[0].decode('latin-1')

    @property
    def keeps_connection(self):
        """Whether the connection can be used again, a bool."""
        return self.ending != Ending.CUT and b'\r\nConnection: close' not in (
            self._received
        )

    def poll(self):
        """Read what has arrived."""
        if self.ending is not None or not self.reads:
            return
        chunk = self._read()
        while chunk:
            self._received += chunk
            chunk = self._read()
        if self._is_complete():
            status = int(self._received.split(b' ', 2)[1])
            self.ending = _classify(status)
        elif chunk is not None:
            self.ending = Ending.CUT

    def _read(self):
        """Return bytes, empty at the end of the connection; else None."""
        try:
            return self.sock.recv(_READ_SIZE)
        except BlockingIOError:
            return None
        except OSError:
            return b''

    def _is_complete(self):
        head, separator, body = self._received.partition(b'\r\n\r\n')
        if not separator:
            return False
        if b'Transfer-Encoding' in head:
            return body.endswith(b'0\r\n\r\n')
        length = head.split(b'Content-Length: ')[1].split(b'\r\n')[0]
        return len(body) >= int(length)


def _classify(status):
    if status == HTTPStatus.OK:
        return Ending.WHOLE
    if status == HTTPStatus.SERVICE_UNAVAILABLE:
        return Ending.NOT_RUN
    return Ending.FAILED
