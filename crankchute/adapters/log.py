"""Logs by eliot: JSON lines whose volume is bounded and that never block.

A line says what was decided, by which inputs, and how old those were.  Each
kind of line has a rate; what is over it is left out and counted, and a line
a second tells the counts.  Lines of failures have a rate of their own, so
that successes never crowd them out.  A reader that stops costs lines, not
time: what a full pipe does not take is kept up to a bound and then dropped,
successes first.
"""

import fcntl
import os
import stat
import sys
import time
from collections import Counter

import eliot
import orjson

#: Lines of one kind a second.  A usual instance has some tens of requests a
#: second with three lines each; a line costs about 30 us of processor time
#: (docs/MEASUREMENTS.md), so that this bounds a kind to half a percent.
LINES_PER_S = 200
#: Lines of failures of one kind a second.
FAILURES_PER_S = 400
#: What is kept for a reader that is slow, in bytes.
_BUFFER_BYTES = 262_144
#: Above this only lines of failures are kept.
_SUCCESS_BYTES = 131_072
_OMITTED = 'crankchute:log_omitted'
_KIND = 'message_type'
_FAILED = 'failed'


class LineWriter:
    """Writes lines to a descriptor and never waits for it.

    Attributes:
      dropped: How many lines were dropped because nobody read, an int.
    """

    def __init__(self, fd):
        """Create a writer.

        Args:
          fd: A file number; a pipe or socket is set not to block.
        """
        self._fd = fd
        self._waiting = bytearray()
        self.dropped = 0
        mode = os.fstat(fd).st_mode
        if stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode):
            flags = fcntl.fcntl(fd, fcntl.F_GETFL)
            fcntl.fcntl(fd, fcntl.F_SETFL, flags | os.O_NONBLOCK)

    def write(self, line, *, failed):
        """Write a line, or keep it, or drop it.

        Args:
          line: Bytes that end with a newline.
          failed: Whether it tells of a failure, a bool.
        """
        allowed = _BUFFER_BYTES if failed else _SUCCESS_BYTES
        if len(self._waiting) + len(line) > allowed:
            self.flush()
        if len(self._waiting) + len(line) > allowed:
            self.dropped += 1
            return
        self._waiting += line
        self.flush()

    def flush(self):
        """Write as much of what is kept as the descriptor takes."""
        try:
            written = os.write(self._fd, self._waiting)
        except BlockingIOError:
            return
        except OSError:
            # Nobody can ever read it; the lines are counted as dropped.
            self.dropped += self._waiting.count(b'\n')
            self._waiting.clear()
            return
        self._waiting = self._waiting[written:]


class BoundedLog:
    """A destination of eliot that keeps each kind of line to its rate."""

    def __init__(self, writer, now_s=time.monotonic):
        """Create the destination.

        Args:
          writer: A LineWriter.
          now_s: A function that returns a steady time in seconds.
        """
        self._writer = writer
        self._now_s = now_s
        self._second = None
        self._written = Counter()
        self._omitted = Counter()
        self._told_dropped = 0

    def __call__(self, message):
        """Write a message, or count it as left out.

        Args:
          message: A map, as eliot hands it over.
        """
        self._turn_second()
        kind = message.get(_KIND, '')
        failed = bool(message.get(_FAILED))
        allowed = FAILURES_PER_S if failed else LINES_PER_S
        self._written[kind, failed] += 1
        if self._written[kind, failed] > allowed:
            self._omitted[kind] += 1
            return
        self._write(message, failed=failed)

    def _turn_second(self):
        second = int(self._now_s())
        if second == self._second:
            return
        self._second = second
        self._written.clear()
        dropped = self._writer.dropped - self._told_dropped
        if not self._omitted and not dropped:
            return
        self._told_dropped = self._writer.dropped
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
      stream: A text stream with a file number; standard error if None.
    """
    stream = stream or sys.stderr
    stream.flush()
    eliot.add_destinations(BoundedLog(LineWriter(stream.fileno())))


def log_change(kind, **fields):
    """Log a decision or a change of state.

    Args:
      kind: What happened, such as "config_in_force".
      fields: What a person would want to know, as JSON values; `failed`
        marks a failure.
    """
    eliot.log_message(message_type=f'crankchute:{kind}', **fields)
