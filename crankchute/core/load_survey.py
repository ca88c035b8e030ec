"""Asking servers for their load when a process sends its first request.

A new process knows nothing of what servers work on.  The other instances tell
what they sent, but not what instances sent that are gone: after a loss of all
instances at once nobody else knows, and engines still work on what was sent
before; short prompts would wait behind it.  Most instances of a large fleet send
nothing and so ask nobody.
"""

import abc
from functools import partial

#: The most servers that are asked, so that a start costs the same however
#: many there are.
_MOST_ASKED = 64


class ReportPort(abc.ABC):
    """Asks servers for reports; every answer comes later, on the loop."""

    @abc.abstractmethod
    def ask(self, backend, on_load):
        """Ask a server for its load.

        Args:
          backend: A Backend.
          on_load: A function of a SeenLoad; not called without an answer.
        """

    @abc.abstractmethod
    def check(self, backend, path):
        """Ask a server whether it is well; it says in its answer what it wants.

        Args:
          backend: A Backend.
          path: Where it tells that.
        """


class LoadSurvey:
    """Asks for reports once in the life of a process."""

    def __init__(self, port, random, take):
        """Create the survey.

        Args:
          port: A ReportPort.
          random: A random.Random.
          take: A function of a Backend and a SeenLoad.
        """
        self._port = port
        self._random = random
        self._take = take
        self._is_done = False

    def run(self, list_members):
        """Ask all servers, or some of them if there are many, once.

        Args:
          list_members: A function that returns a list of Backend; called the
            first time only, since this runs with each piece of work.
        """
        if self._is_done:
            return
        members = list_members()
        self._is_done = bool(members)
        count = min(len(members), _MOST_ASKED)
        for backend in self._random.sample(members, count):
            self._port.ask(backend, partial(self._take, backend))
