"""What the platform's store answers, decoded."""

import base64

import orjson

from crankchute.platform.store_position import make_position


class StoreEntry:
    """A key of the store and what stands there.

    Attributes:
      key: The key, a string.
      payload: Bytes, or None if the key is gone.
      revision: The position of its last change, an int.
    """

    __slots__ = ('key', 'payload', 'revision')

    def __init__(self, key, payload, revision):
        """Create the item.

        Args:
          key: A string.
          payload: Bytes or None.
          revision: An int.
        """
        self.key = key
        self.payload = payload
        self.revision = revision


class StorePage:
    """What one call of the store answers.

    Attributes:
      entries: A list of StoreEntry, those there or those that changed.
      at: The store's position, an int.
      has_more: Whether there are more entries than these, a bool.
    """

    __slots__ = ('at', 'has_more', 'entries')

    def __init__(self, entries, at, *, has_more):
        """Create the page.

        Args:
          entries: A list of StoreEntry.
          at: An int.
          has_more: A bool.
        """
        self.entries = entries
        self.at = at
        self.has_more = has_more


def read_page(body, era=0):
    """Return what an answer of the store holds.

    Args:
      body: The bytes of the answer.
      era: How often the store came back, an int.
    Returns:
      A StorePage.
    Raises:
      KeyError, TypeError, ValueError: If it is no such answer.
    """
    document = orjson.loads(body)
    found = document['items'] if 'items' in document else document['events']
    entries = [_read_entry(one, era) for one in found]
    has_more = bool(document.get('more')) and bool(entries)
    at = make_position(era, document['at'])
    return StorePage(entries, at, has_more=has_more)


def _read_entry(document, era):
    # The store calls the key of an item by a name that has to do with TLS.
    key = document['tls-key']
    at = make_position(era, document['revision'])
    if document.get('gone'):
        return StoreEntry(key, None, at)
    return StoreEntry(key, _read_value(document), at)


def _read_value(document):
    """Return the bytes of an item, empty if they cannot be read.

    One item that another writer spoiled must not hide all others.
    """
    try:
        return base64.b64decode(document['value'])
    except (KeyError, TypeError, ValueError):
        return b''
