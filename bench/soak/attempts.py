"""Requests of a soak, and what became of them."""

import orjson

from bench.soak.config import STREAM_PATHS
from bench.soak.fleet import now_s
from crankchute.platform.standin_http import format_message
from crankchute.platform.standin_early import EARLY_ANSWER
from crankchute.platform.standin_exchange import make_body, make_event
from crankchute.platform.wire import (
    DEADLINE_MS,
    MODEL,
    PROMPT_PARTS,
    REQUEST_ID,
    SIGNATURE,
    TOKEN_USAGE,
)

_MS_PER_SECOND = 1000
_ID_BITS = 64
_DEADLINES_S = (3, 6, 10)
#: Bytes of plain answers; most are small.
_SIZES = (*(300,) * 20, 100_000, 6_000_000)
#: Pauses within the request and before its answer is read; most are zero.
_PAUSES_S = (*(0,) * 10, 0.1, 0.5, 1)
#: Bytes added to the body of a request; most are none.
_PADDING = (*(0,) * 20, 200_000, 1_000_000)
#: The largest padding, with which servers may answer before they have read all.
_MOST_PADDING = max(_PADDING)
_EARLY_BYTES = 2_000_000
_EARLY_SHARE = 0.5
_BURST_WORK_MS = 700
_WORK_MS = (2, 10, 50, 200, 700, 2500, 5100)
_PROMPT_TOKENS = 800
_READ_MS = 100
_GAP_MS = 60
_EVENTS = (3, 20, 60)
_LONG_EVENTS = 90
_OK = 200


class Attempt:
    """A request of a client and what became of it.

    Attributes:
      request_id: Its id.
      path: The path prefix of its route.
      instance: The name of the instance.
      reused: How many requests its connection had before.
      sent: When it was sent, in seconds.
      ended: When the client knew what became of it, or None before.
      deadline_s: The deadline, from `sent`.
      work: What the server is asked to do, a map.
      padding: The bytes added to the body of the request.
      is_early: Whether the server is asked to answer before it has read it.
      write_pause_s: A pause within the request, in seconds.
      read_pause_s: A pause before its answer is read, in seconds.
      outcome: `answered`, `cut` (an answer without its end), `closed` (no
        answer), `silent` (no answer long after the deadline) or `garbled`.
      status: The status of the answer, or None.
      closes: Whether the connection can't be used any more, a bool.
      faults: What is wrong with the answer, a list of strings.
    """

    __slots__ = (
        'closes',
        'deadline_s',
        'ended',
        'faults',
        'instance',
        'is_early',
        'outcome',
        'padding',
        'path',
        'read_pause_s',
        'request_id',
        'reused',
        'sent',
        'status',
        'work',
        'write_pause_s',
    )

    def __init__(self, random, path, instance, reused):
        """Choose a request.

        Args:
          random: The random.Random that chooses.
          path: See the class.
          instance: See the class.
          reused: See the class.
        """
        self.request_id = f'{random.getrandbits(_ID_BITS):016x}'
        self.path = path
        self.instance = instance
        self.reused = reused
        self.sent = now_s()
        self.ended = None
        self.deadline_s = random.choice(_DEADLINES_S)
        self.work = {
            'ms': random.choice(_WORK_MS),
            'events': 0,
            'size': random.choice(_SIZES),
        }
        if path in STREAM_PATHS:
            self.work = {
                'ms': _READ_MS,
                'events': random.choice(_EVENTS),
                'gap_ms': _GAP_MS,
            }
        self.padding = random.choice(_PADDING)
        self.is_early = (
            path not in STREAM_PATHS
            and self.padding == _MOST_PADDING
            and random.random() < _EARLY_SHARE
        )
        if self.is_early:
            self.work['size'] = _EARLY_BYTES
        self.write_pause_s = random.choice(_PAUSES_S)
        self.read_pause_s = random.choice(_PAUSES_S)
        self.outcome = 'silent'
        self.status = None
        self.closes = True
        self.faults = []

    def lengthen(self):
        """Make this one of the long requests of a burst."""
        self.padding = _MOST_PADDING
        self.work = {'ms': _BURST_WORK_MS, 'events': 0, 'size': 0}
        self.is_early = False

    def lengthen_stream(self):
        """Make this a stream that lasts for seconds, sent in one piece."""
        self.work = {'ms': 0, 'events': _LONG_EVENTS, 'gap_ms': _GAP_MS}
        self.padding = 0
        self.write_pause_s = 0

    def format(self):
        """Return the bytes of the request."""
        headers = [
            ('host', 'a.example'),
            (REQUEST_ID, self.request_id),
            (DEADLINE_MS, str(self.deadline_s * _MS_PER_SECOND)),
        ]
        if self.work['events']:
            parts = f'5c1e07a2:500,{self.request_id}:300'
            headers.append((MODEL, 'm'))
            headers.append(
                (TOKEN_USAGE, f'{_PROMPT_TOKENS},{self.work["events"]}')
            )
            headers.append((PROMPT_PARTS, parts))
        if self.is_early:
            headers.append((EARLY_ANSWER, str(self.work['size'])))
        line = f'POST {self.path}x HTTP/1.1'
        # Blanks are no part of the document.
        body = orjson.dumps(self.work) + b' ' * self.padding
        return format_message(line, headers, body)

    def take(self, message):
        """Record an answer.

        Args:
          message: A Message, or None if the connection was closed before.
        """
        if message is None:
            self.outcome = 'closed'
            return
        self.outcome = 'answered' if message.is_whole else 'cut'
        self.status = message.status
        is_last = message.headers.get('connection', '').lower() == 'close'
        self.closes = is_last or not message.is_whole
        if message.status == _OK:
            self._compare(message)

    def _compare(self, message):
        if SIGNATURE not in message.headers:
            self.faults.append('no signature')
        if message.headers.get(REQUEST_ID) != self.request_id:
            self.faults.append(f'id {message.headers.get(REQUEST_ID)}')
        expected = self._expect_body()
        if message.is_whole and message.body != expected:
            self.faults.append('another body')
        elif not expected.startswith(message.body):
            self.faults.append('another beginning of the body')

    def _expect_body(self):
        if not self.work['events']:
            return make_body(self.request_id, self.work['size'])
        numbers = range(self.work['events'])
        return b''.join(make_event(self.request_id, num) for num in numbers)
