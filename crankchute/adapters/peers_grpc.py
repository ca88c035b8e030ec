"""Calls between entry instances over gRPC.

The threads of gRPC only pass requests and replies to the event loop; all state
is handled on the loop's thread.
"""

from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

import grpc

from crankchute.proto import peer_pb2, peer_pb2_grpc

_SERVER_THREADS = 16
_MAX_REPLY_WAIT_S = 30
_MAX_MESSAGE_BYTES = 16_777_216
_OPTIONS = (
    ('grpc.max_receive_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.use_local_subchannel_pool', 1),
    # Unanswered pings detect a network partition and close the connection.
    ('grpc.keepalive_time_ms', 2000),
    ('grpc.keepalive_timeout_ms', 1000),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
)
_MS_PER_SECOND = 1000
_MAX_CHANNELS = 64
#: A connection may stop working while new ones succeed, so it is replaced after
#: this many timeouts in a row.  With a call every 250 to 500 ms that happens
#: within 1.5 s.
_MAX_CONSECUTIVE_TIMEOUTS = 2


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Passes each call to the event loop and waits for the reply."""

    def __init__(self, loop, handlers):
        """Create the servicer.

        Args:
          loop: The Loop.
          handlers: An object with a method for each supported call, such as
            on_probe, called with the request and a callback for the reply.
        """
        self._loop = loop
        self._handlers = handlers

    def Probe(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_probe', request, context)

    def Pull(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto.

        Replies are compressed, since configurations may be large and are
        repetitive.
        """
        context.set_compression(grpc.Compression.Gzip)
        return self._dispatch('on_pull', request, context)

    def Forward(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_forward', request, context)

    def Borrow(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_borrow', request, context)

    def Share(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_share', request, context)

    def Turn(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_turn', request, context)

    def Reach(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._dispatch('on_reach', request, context)

    def _dispatch(self, name, request, context):
        function = getattr(self._handlers, name, None)
        if function is None:
            status = grpc.StatusCode.UNIMPLEMENTED
            return context.abort(status, 'not served here')
        call_future = Future()
        self._loop.post(function, request, call_future.set_result)
        timeout_s = min(context.time_remaining() or 0, _MAX_REPLY_WAIT_S)
        try:
            return call_future.result(timeout=timeout_s)
        except FutureTimeoutError:
            return context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, 'late')


class PeerServer:
    """The gRPC server of a process.

    Attributes:
      port: The port listened on.
    """

    def __init__(self, loop, bind, handlers):
        """Start listening.

        Args:
          loop: The Loop.
          bind: A pair of IP number and port.
          handlers: See PeerServicer.
        Raises:
          OSError: If the address cannot be bound.
        """
        executor = ThreadPoolExecutor(max_workers=_SERVER_THREADS)
        self._server = grpc.server(executor, options=_OPTIONS)
        servicer = PeerServicer(loop, handlers)
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        host, port = bind
        try:
            self.port = self._server.add_insecure_port(f'{host}:{port}')
        except RuntimeError as exc:
            raise OSError(f'cannot listen on {host}:{port}') from exc
        self._server.start()

    def stop(self):
        """Stop the server without waiting for open calls."""
        self._server.stop(grace=0)


class PeerClient:
    """Calls other instances; replies arrive on the loop's thread."""

    def __init__(self, loop):
        """Create a client without connections.

        Args:
          loop: The Loop.
        """
        self._loop = loop
        self._channels = {}
        self._timeouts = Counter()

    def call(self, address, method, request, on_reply, *, timeout_ms):
        """Call a method of a peer.

        Args:
          address: "IP:port".
          method: The name of a call in peer.proto, such as "Probe".
          request: The method's message.
          on_reply: Called with the reply, or with None on any failure.
          timeout_ms: The timeout in milliseconds.
        """
        stub = peer_pb2_grpc.PeerStub(self.get_channel(address))
        call_future = getattr(stub, method).future(
            request,
            timeout=max(timeout_ms, 1) / _MS_PER_SECOND,
        )
        call_future.add_done_callback(
            lambda done: self._on_done(done, address, on_reply),
        )

    def close(self):
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def get_channel(self, address):
        """Return the channel to a peer, creating it if necessary.

        Args:
          address: "IP:port".
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > _MAX_CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest).close()
        return channel

    def _on_done(self, call_future, address, on_reply):
        failed = call_future.cancelled() or call_future.exception() is not None
        reply = None if failed else call_future.result()
        is_timeout = (
            failed and call_future.code() == grpc.StatusCode.DEADLINE_EXCEEDED
        )
        self._loop.post(
            self._handle_reply, address, reply, is_timeout, on_reply
        )

    def _handle_reply(self, address, reply, is_timeout, on_reply):
        if is_timeout:
            self._record_timeout(address)
        else:
            self._timeouts.pop(address, None)
        on_reply(reply)

    def _record_timeout(self, address):
        """Count a timeout, and close the channel after several in a row."""
        self._timeouts[address] += 1
        if self._timeouts[address] < _MAX_CONSECUTIVE_TIMEOUTS:
            return
        self._timeouts.pop(address)
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()


def make_gossip(members, config, instances):
    """Return the gossip for a message.

    Args:
      members: MemberRecord messages.
      config: Revisions of the configuration.
      instances: Revisions of the instance list.
    """
    return peer_pb2.Gossip(
        members=members,
        config=config,
        instances=instances,
    )
