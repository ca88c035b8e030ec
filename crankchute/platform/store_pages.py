"""Decodes responses of the platform's store."""

import base64

import orjson

from crankchute.platform.store_position import era_of, make_position


class StoreEntry:
    """A key of the store and its value.

    Attributes:
      key: The key, a string.
      payload: The value in bytes, or None if the key was deleted.
      position: The position of its last change, an int.
    """

    __slots__ = ('key', 'payload', 'position')

    def __init__(self, key, payload, position):
        """Create the entry.

        Args:
          key: A string.
          payload: Bytes or None.
          position: An int.
        """
        self.key = key
        self.payload = payload
        self.position = position


class StorePage:
    """The response to one read or watch.

    Attributes:
      entries: A list of StoreEntry: those of the page read, or those changed.
      position: The store's position, an int.
      has_more: Whether further pages follow, a bool.
    """

    __slots__ = ('entries', 'has_more', 'position')

    def __init__(self, entries, position, *, has_more):
        """Create the page.

        Args:
          entries: A list of StoreEntry.
          position: An int.
          has_more: A bool.
        """
        self.entries = entries
        self.position = position
        self.has_more = has_more


class PagedRead:
    """All entries under a prefix, read page by page.

    The pages are not one snapshot.  Together they are as old as the oldest.

    Attributes:
      entries: A list of StoreEntry.
      position: The position of the oldest page, or None before the first.
      sent_ms: When the first page was requested, or None if a page may be
        stale: all entries were current at that time.
      last_key: The last key read, or None.
    """

    __slots__ = ('entries', 'last_key', 'position', 'sent_ms')

    def __init__(self, sent_ms):
        """Create a read without pages.

        Args:
          sent_ms: When the first page is requested.
        """
        self.entries = []
        self.position = None
        self.sent_ms = sent_ms
        self.last_key = None

    def is_continued_by(self, page):
        """Return whether a page is of the same era as those before.

        Args:
          page: A StorePage.
        """
        if self.position is None:
            return True
        return era_of(page.position) == era_of(self.position)

    def add(self, page, *, is_stale):
        """Add a page.

        Args:
          page: A StorePage that continues the read.
          is_stale: Whether it may show an older state than when it was
            requested, a bool.
        """
        self.entries.extend(page.entries)
        if page.entries:
            self.last_key = page.entries[-1].key
        if self.position is None or page.position < self.position:
            self.position = page.position
        if is_stale:
            self.sent_ms = None


def decode_page(body, era=0):
    """Decode the body of a response.

    Args:
      body: Bytes.
      era: The era that the response belongs to, an int.
    Returns:
      A StorePage.
    Raises:
      KeyError, TypeError, ValueError: If the body is malformed.
    """
    document = orjson.loads(body)
    listed = document['items'] if 'items' in document else document['events']
    entries = [_decode_entry(one, era) for one in listed]
    has_more = bool(document.get('more')) and bool(entries)
    position = make_position(era, document['at'])
    return StorePage(entries, position, has_more=has_more)


def _decode_entry(document, era):
    # The store's API names the key `tls-key`; it has nothing to do with TLS.
    key = document['tls-key']
    position = make_position(era, document['revision'])
    if document.get('gone'):
        return StoreEntry(key, None, position)
    return StoreEntry(key, _decode_payload(document), position)


def _decode_payload(document):
    """Return the value in bytes, empty if it is malformed.

    One malformed entry must not make the rest of the page unreadable.
    """
    try:
        return base64.b64decode(document['value'])
    except (KeyError, TypeError, ValueError):
        return b''
