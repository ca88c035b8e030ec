"""An epoll poller whose cost does not grow with the number of sockets.

The poller of circuits keeps its readers and writers in lists and searches them
on every write, which dominates the cost with many open streams.  This one keeps
them in sets.
"""

from circuits.core.pollers import EPoll


class FdSet(set):  # noqa: WPS600  (circuits calls list methods on it)
    """A set with the two list methods that the poller calls."""

    def append(self, fd):
        """Add a descriptor.

        Args:
          fd: A socket or a file descriptor.
        """
        self.add(fd)


class IndexedPoller(EPoll):
    """The epoll poller of circuits with constant-time membership tests."""

    def __init__(self):
        """Create the poller with its control pipe registered."""
        super().__init__()
        self._read = FdSet(self._read)
        self._write = FdSet(self._write)
