"""Fault injection in the stand-ins."""

import enum
import os
import signal
from http import HTTPStatus

import orjson

from crankchute.adapters.http_server import JSON_TYPE

_TRUNCATED_BYTES = 5


class FaultMode(enum.StrEnum):
    """The kinds of injected faults."""

    NONE = 'none'
    FREEZE = 'freeze'
    DELAY = 'delay'
    CROSS = 'cross'
    TRUNCATE = 'truncate'
    DROP = 'drop'
    DUPLICATE = 'duplicate'
    REFUSE = 'refuse'
    DIE = 'die'
    GAP = 'gap'
    DOWN = 'down'
    STALE = 'stale'


class Fault:
    """The fault in effect, optionally for a limited number of requests.

    Attributes:
      mode: A FaultMode.
      delay_ms: The duration of a delay in milliseconds.
    """

    def __init__(self):
        """Create without a fault."""
        self._remaining = None
        self.mode = FaultMode.NONE
        self.delay_ms = 0

    def configure(self, document):
        """Set the fault from an admin request.

        Args:
          document: A map with `mode` and optionally `delay_ms` and `count`,
            the number of affected requests.
        Raises:
          ValueError: If the mode is unknown.
        """
        mode = FaultMode(document.get('mode', FaultMode.NONE))
        if mode == FaultMode.DIE:
            os.kill(os.getpid(), signal.SIGKILL)
        self.mode = mode
        self.delay_ms = document.get('delay_ms', 0)
        self._remaining = document.get('count')

    def next_mode(self):
        """Return the mode for the next request and count the request."""
        mode = self.mode
        if self._remaining is not None and mode != FaultMode.NONE:
            self._remaining -= 1
            if self._remaining <= 0:
                self.mode = FaultMode.NONE
        return mode


class FaultyReplies:
    """Sends the replies of a stand-in, subject to its fault."""

    def __init__(self, timers, fault):
        """Create the sender.

        Args:
          timers: A TimerService.
          fault: The Fault of the stand-in.
        """
        self._timers = timers
        self._fault = fault
        self._previous = {}

    def send(self, exchange, document, mode):
        """Reply to a request, or inject the fault instead.

        Args:
          exchange: An Exchange.
          document: A JSON document.
          mode: The FaultMode for this request.
        """
        previous = self._previous
        self._previous = document
        if mode == FaultMode.CROSS:
            document = previous
        if mode == FaultMode.DROP:
            exchange.abort()
        elif mode == FaultMode.TRUNCATE:
            exchange.start_stream(JSON_TYPE)
            exchange.send(orjson.dumps(document)[:_TRUNCATED_BYTES])
            exchange.abort()
        elif mode == FaultMode.DELAY:
            self._timers.after(
                self._fault.delay_ms,
                lambda: exchange.reply(HTTPStatus.OK, document),
            )
        elif mode != FaultMode.FREEZE:
            exchange.reply(HTTPStatus.OK, document)
