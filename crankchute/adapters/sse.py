"""Server-sent events: one JSON document in each."""

import orjson

_START = b'data: '
_END = b'\n\n'
DONE = b'data: [DONE]\n\n'
#: A comment, which readers pass over; it tells that the sender is alive.
KEEP_ALIVE = b': waiting\n\n'
EVENT_STREAM = 'text/event-stream'


def write_event(document):
    """Return the bytes of an event.

    Args:
      document: What orjson can write.
    """
    return b''.join((_START, orjson.dumps(document), _END))


class EventReader:
    """Cuts a stream of bytes into events."""

    __slots__ = ('_buffer',)

    def __init__(self):
        """Create a reader at the start of a stream."""
        self._buffer = b''

    def feed(self, chunk):
        """Take bytes and return the documents that became whole.

        Args:
          chunk: Bytes.
        Returns:
          A list of documents; the closing mark of the stream is left out.
        Raises:
          orjson.JSONDecodeError: If an event is not JSON.
        """
        events = (self._buffer + chunk).split(_END)
        self._buffer = events.pop()
        documents = []
        for event in events:
            text = event.removeprefix(_START)
            if text != b'[DONE]' and not event.startswith(b':'):
                documents.append(orjson.loads(text))
        return documents
