"""Rate-limited, non-blocking logging of JSON lines with eliot.

A line records a decision with its inputs and their age.  Each kind of line is
rate-limited; lines beyond the limit are omitted and counted, and a summary line
reports the counts at most once a second.  Failures have a separate limit, so
that successes cannot displace them.  If the reader of the log falls behind,
lines are buffered up to a limit and then dropped, successes first.
"""

import fcntl
import os
import stat
import sys
import time
from collections import Counter

import eliot
import orjson

#: Limit on the lines of one kind per second, which bounds their processor time.
#: A typical instance has some tens of requests per second and stays below it.
LINES_PER_S = 200
#: Limit on the failure lines of one kind per second.
FAILURES_PER_S = 400
#: Size limit of the buffer for a slow reader.
_BUFFER_BYTES = 262_144
#: Buffer size from which on only failure lines are added.
_SUCCESS_BUFFER_BYTES = 131_072
_OMITTED = 'crankchute:log_omitted'
_KIND = 'message_type'
_FAILED = 'failed'


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    Attributes:
      dropped: The number of lines dropped for lack of a reader, an int.
    """

    def __init__(self, fd):
        """Create a writer.

        Args:
          fd: A file descriptor; pipes and sockets become non-blocking.
        """
        self._fd = fd
        self._buffer = bytearray()
        self.dropped = 0
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            flags = fcntl.fcntl(fd, fcntl.F_GETFL)
            fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line, *, failed):
        """Write, buffer or drop a line.

        Args:
          line: Bytes that end with a newline.
          failed: Whether it reports a failure, a bool.
        """
        limit = _BUFFER_BYTES if failed else _SUCCESS_BUFFER_BYTES
        if len(self._buffer) + len(line) > limit:
            self.flush()
        if len(self._buffer) + len(line) > limit:
            self.dropped += 1
            return
        self._buffer += line
        self.flush()

    def flush(self):
        """Write as much of the buffer as the descriptor accepts."""
        try:
            written = os.write(self._fd, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            # The reader is closed.
            self.dropped += self._buffer.count(b'\n')
            self._buffer.clear()
            return
        self._buffer = self._buffer[written:]


class RateLimitedLog:
    """An eliot destination that limits the rate of each kind of line."""

    def __init__(self, writer, now_s=time.monotonic):
        """Create the destination.

        Args:
          writer: A LineWriter.
          now_s: A function that returns a monotonic time in seconds.
        """
        self._writer = writer
        self._now_s = now_s
        self._second = None
        self._written = Counter()
        self._omitted = Counter()
        self._reported_dropped = 0

    def __call__(self, message):
        """Write a message, or count it as omitted.

        Args:
          message: A map, as eliot passes it.
        """
        self._start_second()
        kind = message.get(_KIND, '')
        failed = bool(message.get(_FAILED))
        limit = FAILURES_PER_S if failed else LINES_PER_S
        self._written[kind, failed] += 1
        if self._written[kind, failed] > limit:
            self._omitted[kind] += 1
            return
        self._write(message, failed=failed)

    def _start_second(self):
        second = int(self._now_s())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        dropped = self._writer.dropped - self._reported_dropped
        if not self._omitted and not dropped:
            return
        self._reported_dropped = self._writer.dropped
        omitted = dict(self._omitted)
        self._omitted.clear()
        summary = {
            _KIND: _OMITTED,
            'omitted': omitted,
            'unread': dropped,
            'timestamp': time.time(),
        }
        self._write(summary, failed=True)

    def _write(self, message, *, failed):
        line = orjson.dumps(message, default=str)
        self._writer.write(b'%b\n' % line, failed=failed)


def start_log(stream=None):
    """Write logs as JSON lines.

    Args:
      stream: A text stream with a file descriptor; standard error if None.
    """
    stream = stream or sys.stderr
    stream.flush()
    eliot.add_destinations(RateLimitedLog(LineWriter(stream.fileno())))


def log_change(kind, **fields):
    """Log a decision or a change of state.

    Args:
      kind: What happened, such as "config_in_force".
      fields: Details as JSON values; `failed` marks a failure.
    """
    eliot.log_message(message_type=f'crankchute:{kind}', **fields)
