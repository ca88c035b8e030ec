"""An epoll poller whose cost does not grow with the number of sockets.

The poller of the library keeps its readers and writers in lists and searches
them on every write; with a thousand open streams that search is most of the
work.  Only the two containers are replaced here.
"""

from circuits.core.pollers import EPoll


class FdSet(set):  # noqa: WPS600  (circuits calls list methods on it)
    """A set that answers to the two list methods the poller calls."""

    def append(self, fd):
        """Add a descriptor.

        Args:
          fd: A socket or a file number.
        """
        self.add(fd)


class IndexedPoller(EPoll):
    """The library's epoll poller with constant-time membership tests."""

    def __init__(self):
        """Create the poller with its control pipe registered."""
        super().__init__()
        self._read = FdSet(self._read)
        self._write = FdSet(self._write)
