"""Faults that a stand-in can be told to have."""

import enum
import os
import signal
from http import HTTPStatus

import orjson

from crankchute.adapters.http_server import JSON_TYPE

_KEPT_BYTES = 5


class FaultMode(enum.StrEnum):
    """What a stand-in does wrong."""

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
    """The fault in effect, and for how many more requests.

    Attributes:
      mode: A FaultMode.
      delay_ms: How long a delay takes.
    """

    def __init__(self):
        """Create without a fault."""
        self._left = None
        self.mode = FaultMode.NONE
        self.delay_ms = 0

    def arrange(self, document):
        """Take a fault from an admin request.

        Args:
          document: A map with `mode`, and perhaps `delay_ms` and `count`,
            the number of requests that it hits.
        Raises:
          ValueError: If the mode is not known.
        """
        mode = FaultMode(document.get('mode', FaultMode.NONE))
        if mode == FaultMode.DIE:
            os.kill(os.getpid(), signal.SIGKILL)
        self.mode = mode
        self.delay_ms = document.get('delay_ms', 0)
        self._left = document.get('count')

    def take(self):
        """Return the mode for one more request, and count it down."""
        mode = self.mode
        if self._left is not None and mode != FaultMode.NONE:
            self._left -= 1
            if self._left <= 0:
                self.mode = FaultMode.NONE
        return mode


class FaultyReplies:
    """Whole answers of a stand-in, as its fault lets them go out."""

    def __init__(self, timers, fault):
        """Create the way out of a stand-in.

        Args:
          timers: A TimerService.
          fault: The stand-in's Fault.
        """
        self._timers = timers
        self._fault = fault
        self._former = {}

    def send(self, exchange, document, mode):
        """Answer a request, or do what the mode says instead.

        Args:
          exchange: An Exchange.
          document: A JSON document.
          mode: The FaultMode that was taken for this request.
        """
        former = self._former
        self._former = document
        if mode == FaultMode.CROSS:
            document = former
        if mode == FaultMode.DROP:
            exchange.abort()
        elif mode == FaultMode.TRUNCATE:
            exchange.start_stream(JSON_TYPE)
            exchange.send(orjson.dumps(document)[:_KEPT_BYTES])
            exchange.abort()
        elif mode == FaultMode.DELAY:
            self._timers.after(
                self._fault.delay_ms,
                lambda: exchange.reply(HTTPStatus.OK, document),
            )
        elif mode != FaultMode.FREEZE:
            exchange.reply(HTTPStatus.OK, document)
