"""Cutting a stream of server-sent events into whole events.

Events are passed on as they came.  Only their ids are read, to know where a
stream may be taken up; a part of an event is kept until it is whole, and is
dropped if its server breaks off.
"""

import re

from crankchute.ports.forwarding import StreamEvent

_ID_LINE = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
_BOUNDARY = re.compile(rb'\r?\n\r?\n')


class EventCutter:
    """Gathers the bytes of one stream."""

    __slots__ = ('_buffer',)

    def __init__(self):
        """Create a cutter at the start of a stream."""
        self._buffer = b''

    @property
    def has_rest(self):
        """Whether there are bytes of an event that is not whole, a bool."""
        return bool(self._buffer)

    def feed(self, chunk):
        """Take bytes and return the events that became whole.

        Args:
          chunk: Bytes.
        Returns:
          A list of StreamEvent.
        """
        buffer = self._buffer + chunk
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(buffer):
            payload = buffer[start : boundary.end()]
            events.append(StreamEvent(read_number(payload), payload))
            start = boundary.end()
        self._buffer = buffer[start:]
        return events


def read_number(payload):
    """Return the id of an event, or None if it has no whole number as id.

    Args:
      payload: The bytes of the event.
    """
    found = _ID_LINE.search(payload)
    return None if found is None else int(found.group(1))
