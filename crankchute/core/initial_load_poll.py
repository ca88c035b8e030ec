"""Initial poll of the servers' load at the first request of a process.

Other instances announce their own work but not that of instances that are
gone.  If all instances restart at once, only the servers know the work in
progress.  Instances that send no requests do not poll.
"""

import abc
from functools import partial

#: The maximum number of servers polled, which bounds the cost of a start.
_MAX_POLLED = 64


class ReportPort(abc.ABC):
    """Polls servers; answers arrive asynchronously on the event loop."""

    @abc.abstractmethod
    def request_load(self, backend, on_load):
        """Request a load report from a server.

        Args:
          backend: A Backend.
          on_load: A function of a ReportedLoad; not called without an answer.
        """

    @abc.abstractmethod
    def check_health(self, backend, path):
        """Send a health check; the server states its limits in the response.

        Args:
          backend: A Backend.
          path: The path of the health check.
        """


class InitialLoadPoll:
    """Polls the servers once in the lifetime of a process."""

    def __init__(self, port, random, record):
        """Create the poll.

        Args:
          port: A ReportPort.
          random: A random.Random.
          record: A function of a Backend and a ReportedLoad.
        """
        self._port = port
        self._random = random
        self._record = record
        self._is_done = False

    def run(self, list_members):
        """Poll the servers, or a random sample of them, on the first call.

        Args:
          list_members: A function that returns a list of Backend.  Not called
            again once it has returned servers, since run() is on the path of
            every request.
        """
        if self._is_done:
            return
        servers = list_members()
        self._is_done = bool(servers)
        count = min(len(servers), _MAX_POLLED)
        for backend in self._random.sample(servers, count):
            self._port.request_load(backend, partial(self._record, backend))
