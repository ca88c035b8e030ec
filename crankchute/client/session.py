"""A blocking face of the client library, for scripts and command lines."""

from crankchute.adapters.loop import Loop
from crankchute.client.caller import Caller


class Session:
    """Makes one call at a time and waits for its end."""

    def __init__(self, seeds, account):
        """Create a session with a loop of its own.

        Args:
          seeds: Pairs of IP number and port of entry instances.
          account: The client account's name.
        """
        self._loop = Loop()
        self._caller = Caller(self._loop, seeds, account)

    def complete(self, prompt, options):
        """Ask for a completion and wait.

        Args:
          prompt: A string.
          options: CallOptions.
        Returns:
          A CallResult.
        """
        return self._wait(
            lambda on_end: self._caller.complete(prompt, options, on_end),
        )

    def call_service(self, request, options):
        """Call a plain service and wait.

        Args:
          request: A ServiceRequest.
          options: CallOptions.
        Returns:
          A CallResult.
        """
        return self._wait(
            lambda on_end: self._caller.call_service(request, options, on_end),
        )

    def _wait(self, start):
        ends = []
        start(ends.append)
        self._loop.run_until(lambda: bool(ends))
        return ends[0]
