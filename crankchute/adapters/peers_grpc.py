"""Calls between entry instances over gRPC.

gRPC completes calls on threads of its own.  They only post to the loop and
wait for what the loop answers; no decision is made on them.
"""

from collections import Counter
from concurrent.futures import Future, ThreadPoolExecutor
from concurrent.futures import TimeoutError as FutureTimeoutError

import grpc

from crankchute.proto import peer_pb2, peer_pb2_grpc

_SERVER_THREADS = 16
_LONGEST_ANSWER_S = 30
_MESSAGE_BYTES = 16_777_216
_OPTIONS = (
    ('grpc.max_receive_message_length', _MESSAGE_BYTES),
    ('grpc.max_send_message_length', _MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 2000),
    ('grpc.use_local_subchannel_pool', 1),
    # A cut network says nothing, so an unanswered ping ends a connection.
    ('grpc.keepalive_time_ms', 2000),
    ('grpc.keepalive_timeout_ms', 1000),
    ('grpc.http2.max_pings_without_data', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', 1000),
)
_MS_PER_SECOND = 1000
_MOST_CHANNELS = 64
#: A connection may go silent for good while new ones work, so after this many
#: late answers in a row another one is opened: with calls every 250 to 500 ms
#: and their time-outs that is within 1.5 s.
_MOST_LATE = 2


class PeerServicer(peer_pb2_grpc.PeerServicer):
    """Passes each call to the loop and waits for its answer."""

    def __init__(self, loop, answerer):
        """Create the servicer.

        Args:
          loop: The Loop.
          answerer: An object with a method for each call that it takes, such
            as on_probe, a function of the request and of a function of the
            reply.
        """
        self._loop = loop
        self._answerer = answerer

    def Probe(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._ask('on_probe', request, context)

    def Pull(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto.

        Answers are packed: a large configuration would fill a slow link for a
        tenth of a second, and is mostly repetition.
        """
        context.set_compression(grpc.Compression.Gzip)
        return self._ask('on_pull', request, context)

    def Forward(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._ask('on_forward', request, context)

    def Borrow(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._ask('on_borrow', request, context)

    def Share(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._ask('on_share', request, context)

    def Turn(self, request, context):  # noqa: N802  (named by the protocol)
        """See peer.proto."""
        return self._ask('on_turn', request, context)

    def _ask(self, name, request, context):
        function = getattr(self._answerer, name, None)
        if function is None:
            status = grpc.StatusCode.UNIMPLEMENTED
            return context.abort(status, 'not served here')
        fut = Future()
        self._loop.post(function, request, fut.set_result)
        allowed_s = min(context.time_remaining() or 0, _LONGEST_ANSWER_S)
        try:
            return fut.result(timeout=allowed_s)
        except FutureTimeoutError:
            return context.abort(grpc.StatusCode.DEADLINE_EXCEEDED, 'late')


class PeerServer:
    """The gRPC server of a process.

    Attributes:
      port: The port listened on.
    """

    def __init__(self, loop, bind, answerer):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP number and port.
          answerer: See PeerServicer.
        Raises:
          OSError: If the address is taken.
        """
        executor = ThreadPoolExecutor(max_workers=_SERVER_THREADS)
        self._server = grpc.server(executor, options=_OPTIONS)
        servicer = PeerServicer(loop, answerer)
        peer_pb2_grpc.add_PeerServicer_to_server(servicer, self._server)
        host, port = bind
        try:
            self.port = self._server.add_insecure_port(f'{host}:{port}')
        except RuntimeError as exc:
            raise OSError(f'cannot listen on {host}:{port}') from exc
        self._server.start()

    def stop(self):
        """Stop to listen at once."""
        self._server.stop(grace=0)


class PeerClient:
    """Calls other instances; answers come on the loop's thread."""

    def __init__(self, loop):
        """Create a client without connections.

        Args:
          loop: The Loop.
        """
        self._loop = loop
        self._channels = {}
        self._late = Counter()

    def call(self, address, method, request, on_reply, *, timeout_ms):
        """Call a method of a peer.

        Args:
          address: "IP:port".
          method: The name of a call in peer.proto, such as "Probe".
          request: The method's message.
          on_reply: A function of the reply, or of None on any failure.
          timeout_ms: Milliseconds to wait.
        """
        stub = peer_pb2_grpc.PeerStub(self.channel_of(address))
        fut = getattr(stub, method).future(
            request,
            timeout=max(timeout_ms, 1) / _MS_PER_SECOND,
        )
        fut.add_done_callback(
            lambda done: self._on_done(done, address, on_reply),
        )

    def close(self):
        """Close all connections."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()

    def channel_of(self, address):
        """Return the channel to a peer, opened if there is none.

        Args:
          address: "IP:port".
        """
        channel = self._channels.pop(address, None)
        if channel is None:
            channel = grpc.insecure_channel(address, options=_OPTIONS)
        self._channels[address] = channel
        if len(self._channels) > _MOST_CHANNELS:
            oldest = next(iter(self._channels))
            self._channels.pop(oldest).close()
        return channel

    def _on_done(self, fut, address, on_reply):
        failed = fut.cancelled() or fut.exception() is not None
        reply = None if failed else fut.result()
        is_late = failed and fut.code() == grpc.StatusCode.DEADLINE_EXCEEDED
        self._loop.post(self._take_reply, address, reply, is_late, on_reply)

    def _take_reply(self, address, reply, is_late, on_reply):
        if is_late:
            self._record_late(address)
        else:
            self._late.pop(address, None)
        on_reply(reply)

    def _record_late(self, address):
        """Open another connection to a peer that is late again and again."""
        self._late[address] += 1
        if self._late[address] < _MOST_LATE:
            return
        self._late.pop(address)
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()


def make_gossip(members, config, instances):
    """Return the gossip that goes with a message.

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
