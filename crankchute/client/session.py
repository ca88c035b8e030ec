"""A blocking client, for scripts and command-line tools."""

from crankchute.adapters.loop import Loop
from crankchute.client.caller import Caller


class Session:
    """Makes one call at a time and waits for its result."""

    def __init__(self, seeds, account):
        """Create a client with its own event loop.

        Args:
          seeds: Pairs of IP address and port of entry instances.
          account: The client account's name.
        """
        self._loop = Loop()
        self._client = Caller(self._loop, seeds, account)

    def complete(self, prompt, options):
        """Request a completion and wait for the result.

        Args:
          prompt: A string.
          options: CallOptions.
        Returns:
          A CallResult.
        """
        return self._wait(
            lambda on_result: self._client.complete(prompt, options, on_result),
        )

    def call_service(self, request, options):
        """Call a plain service and wait for the result.

        Args:
          request: A ServiceRequest.
          options: CallOptions.
        Returns:
          A CallResult.
        """
        return self._wait(
            lambda on_result: self._client.call_service(
                request, options, on_result
            ),
        )

    def _wait(self, start):
        call_results = []
        start(call_results.append)
        self._loop.run_until(lambda: bool(call_results))
        return call_results[0]
