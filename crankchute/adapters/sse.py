"""Server-sent events that hold one JSON document each."""

import orjson

from crankchute.errors import BackendError

_DATA_PREFIX = b'data: '
_EVENT_END = b'\n\n'
#: The largest event, in bytes.
_MAX_EVENT = 1024 * 1024
DONE = b'data: [DONE]\n\n'
#: A comment, which readers ignore, that shows that the sender is alive.
KEEP_ALIVE = b': waiting\n\n'
EVENT_STREAM = 'text/event-stream'


def write_event(document):
    """Return the bytes of an event.

    Args:
      document: An object that orjson can serialize.
    """
    return b''.join((_DATA_PREFIX, orjson.dumps(document), _EVENT_END))


class EventReader:
    """Splits a byte stream into events."""

    __slots__ = ('_buffer',)

    def __init__(self):
        """Create a reader for a new stream."""
        self._buffer = b''

    def feed(self, chunk):
        """Parse bytes and return the documents that are now complete.

        Args:
          chunk: Bytes.
        Returns:
          A list of documents without the end marker of the stream.
        Raises:
          orjson.JSONDecodeError: If an event is not JSON.
          BackendError: If an event is too large.
        """
        events = (self._buffer + chunk).split(_EVENT_END)
        self._buffer = events.pop()
        if len(self._buffer) > _MAX_EVENT:
            raise BackendError('an event is too large', sent=True)
        documents = []
        for event in events:
            text = event.removeprefix(_DATA_PREFIX)
            if text != b'[DONE]' and not event.startswith(b':'):
                documents.append(orjson.loads(text))
        return documents
