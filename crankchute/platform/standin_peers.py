"""Ways in which the instances of one event loop call each other, for tests."""

from functools import partial

from crankchute.adapters.loop import Loop
from crankchute.platform.standin_paced import SteppedLoop


class SocketCalls:
    """Calls over gRPC, in real time.

    Attributes:
      loop: The Loop.
    """

    def __init__(self):
        """Create the loop."""
        self.loop = Loop()

    def connect(self, node):
        """Do nothing: instances connect by themselves."""

    def disconnect(self, node):
        """Do nothing: an instance that is stopped closes its connections."""


class DirectCalls:
    """Calls without sockets and threads, on a simulated clock.

    Attributes:
      loop: The Loop.
    """

    def __init__(self, delay_ms):
        """Create the loop, without instances.

        Args:
          delay_ms: How long a request and a reply take each.
        """
        self.loop = SteppedLoop()
        self._timers = self.loop.timers
        self._delay_ms = delay_ms
        self._peers = {}

    def connect(self, node):
        """Pass the calls from and to an instance from now on.

        Args:
          node: Its ForwardNode.
        """
        self._peers[node.peers.membership.own.peer_address] = node.peers
        node.peers.peer_client.call = self._call

    def disconnect(self, node):
        """Answer no more calls to an instance.

        Args:
          node: Its ForwardNode.
        """
        self._peers.pop(node.peers.membership.own.peer_address, None)

    def _call(self, address, method, request, on_reply, *, timeout_ms):
        """Call a method of a peer; see PeerClient."""
        call = _Call(self._timers, timeout_ms, on_reply)
        self._timers.after(
            self._delay_ms,
            partial(self._deliver, address, method, _copy(request), call),
        )

    def _deliver(self, address, method, request, call):
        peers = self._peers.get(address)
        if peers is not None:
            on_request = getattr(peers, f'on_{method.lower()}')
            on_request(request, partial(self._reply, call))

    def _reply(self, call, reply):
        self._timers.after(self._delay_ms, partial(call.end, _copy(reply)))


class _Call:
    """A call that ends with its reply or its timeout, whichever is first."""

    def __init__(self, timers, timeout_ms, on_reply):
        self._on_reply = on_reply
        self._timeout = timers.after(timeout_ms, partial(self.end, None))

    def end(self, reply):
        """Pass on the reply, or None, unless the call has ended.

        Args:
          reply: A message or None.
        """
        on_reply = self._on_reply
        self._on_reply = None
        self._timeout.cancel()
        if on_reply is not None:
            on_reply(reply)


def make_calls(peer_delay_ms):
    """Return DirectCalls with a delay, or SocketCalls if it is None.

    Args:
      peer_delay_ms: Milliseconds or None.
    """
    return (
        SocketCalls() if peer_delay_ms is None else DirectCalls(peer_delay_ms)
    )


def _copy(message):
    return type(message).FromString(message.SerializeToString())
