"""Splits a byte stream of server-sent events into complete events.

Events are forwarded unchanged.  Only their ids are parsed, to know where the
stream can be resumed.  An incomplete event is buffered, and is dropped if the
backend server closes the connection.
"""

import re

from crankchute.errors import BackendError
from crankchute.ports.forwarding import StreamEvent

_ID_LINE = re.compile(rb'^id: ?(\d+)\r?$', re.MULTILINE)
#: The largest event, in bytes.
_MAX_EVENT = 1024 * 1024
_BOUNDARY = re.compile(rb'\r?\n\r?\n')


class EventSplitter:
    """Buffers the bytes of one stream until an event is complete."""

    __slots__ = ('_buffer',)

    def __init__(self):
        self._buffer = b''

    @property
    def has_partial_event(self):
        """Whether an incomplete event is buffered."""
        return bool(self._buffer)

    def feed(self, chunk):
        """Add bytes and return the events that they complete.

        Args:
          chunk: Bytes.
        Returns:
          A list of StreamEvent.
        Raises:
          BackendError: If an event is too large.
        """
        buffer = self._buffer + chunk
        events = []
        start = 0
        for boundary in _BOUNDARY.finditer(buffer):
            payload = buffer[start : boundary.end()]
            events.append(StreamEvent(parse_event_id(payload), payload))
            start = boundary.end()
        self._buffer = buffer[start:]
        if len(self._buffer) > _MAX_EVENT:
            raise BackendError('an event is too large', sent=True)
        return events


def parse_event_id(payload):
    """Return the id of an event, or None if it has no integer id.

    Args:
      payload: The bytes of the event.
    """
    match = _ID_LINE.search(payload)
    return None if match is None else int(match.group(1))
