"""A queue for requests that arrive before the configuration is loaded.

The first replies of the store arrive shortly after startup.  Earlier requests
wait for them up to a time limit and are then served or refused as usual.
"""


class EarlyRequests:
    """Queues requests until the configuration is loaded."""

    def __init__(self, timers, serve, max_wait_ms):
        """Create an empty queue.

        Args:
          timers: A TimerService.
          serve: A function that serves a ForwardExchange.
          max_wait_ms: How long a request may be queued, in milliseconds.
        """
        self._max_wait_ms = max_wait_ms
        self._timers = timers
        self._serve = serve
        self._queue = []
        self._is_ready = False

    def take(self, exchange):
        """Serve a request, or queue it.

        Args:
          exchange: A ForwardExchange.
        """
        if self._is_ready:
            self._serve(exchange)
            return
        self._queue.append(exchange)
        exchange.on_gone = lambda: self._queue.remove(exchange)
        self._timers.after(
            self._max_wait_ms, lambda: self._on_timeout(exchange)
        )

    def record_informed(self):
        """Serve all queued requests, and later ones at once."""
        self._is_ready = True
        queue = self._queue
        self._queue = []
        for exchange in queue:
            self._serve_queued(exchange)

    def _on_timeout(self, exchange):
        if exchange in self._queue:
            self._queue.remove(exchange)
            self._serve_queued(exchange)

    def _serve_queued(self, exchange):
        exchange.on_gone = None
        exchange.serve(self._serve)
