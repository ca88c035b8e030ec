"""What the core asks of plain services."""

import abc


class ServicePort(abc.ABC):
    """Calls of backend servers; every answer comes later, on the loop."""

    @abc.abstractmethod
    def send(self, backend, call, listener):
        """Send a call once.

        Args:
          backend: A Backend.
          call: A ServiceCall.
          listener: A ServiceFlow; exactly one of its on_answer, on_not_run
            and on_failed is called.
        Returns:
          An object whose cancel() gives the call up.
        """
