"""Requests that came before a process knew its configuration.

The first answers of the store come some ten milliseconds after the start.  A
request that came earlier waits for them, for a short time only: then it is
served, or refused, like any other.
"""


class EarlyRequests:
    """Holds requests until the process is informed."""

    def __init__(self, timers, serve, longest_ms):
        """Create without requests.

        Args:
          timers: A TimerService.
          serve: A function of a ForwardExchange.
          longest_ms: How long a request may wait, in milliseconds.
        """
        self._longest_ms = longest_ms
        self._timers = timers
        self._serve = serve
        self._waiting = []
        self._is_informed = False

    def take(self, exchange):
        """Serve a request, or let it wait.

        Args:
          exchange: A ForwardExchange.
        """
        if self._is_informed:
            self._serve(exchange)
            return
        self._waiting.append(exchange)
        exchange.on_gone = lambda: self._waiting.remove(exchange)
        self._timers.after(self._longest_ms, lambda: self._give_up(exchange))

    def record_informed(self):
        """Serve all that wait, and whatever comes from now on."""
        self._is_informed = True
        waiting = self._waiting
        self._waiting = []
        for exchange in waiting:
            self._hand_over(exchange)

    def _give_up(self, exchange):
        if exchange in self._waiting:
            self._waiting.remove(exchange)
            self._hand_over(exchange)

    def _hand_over(self, exchange):
        exchange.on_gone = None
        exchange.serve(self._serve)
