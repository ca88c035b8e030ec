"""Bounds the wait for a request to arrive whose server has ended the connection."""


class DeliveryWait:
    """Tells when too little of a request is acknowledged to wait on."""

    __slots__ = ('_rest', '_since_ms', '_timeout_ms')

    def __init__(self, timeout_ms):
        """Start before anything is known of the request.

        Args:
          timeout_ms: How long nothing may be acknowledged, in milliseconds.
        """
        self._rest = None
        self._since_ms = None
        self._timeout_ms = timeout_ms

    def is_over(self, rest, now_ms):
        """Record what is not acknowledged, and tell whether the wait is over.

        Args:
          rest: The bytes that are not acknowledged, an int.
          now_ms: The time in milliseconds.
        """
        if rest != self._rest:
            self._rest = rest
            self._since_ms = now_ms
        return now_ms - self._since_ms > self._timeout_ms
