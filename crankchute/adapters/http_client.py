"""The HTTP client side: streamed responses over the connection hub."""

from errno import ECONNREFUSED
from functools import partial

import httptools
from circuits import BaseComponent, handler

from crankchute.adapters.idle_connections import IdleConnections
from crankchute.adapters.sockets import ConnectionHub
from crankchute.errors import BackendError

_NO_BODY_STATUSES = frozenset((204, 304))
_CLOSED = 'the connection was closed'
#: How long to wait for word whether anybody listens, in milliseconds: the first
#: packet may be lost, and is sent again after a second.
_LISTENING_MS = 1500


class CallOptions:
    """How one call uses connections.

    Attributes:
      fresh: Whether a connection of its own must be opened, so that a
        connection closed by the other side cannot be mistaken for a request
        that arrived, a bool.
      idle_ms: The longest time that a reused connection may have been idle,
        in milliseconds, or None.
      connect_ms: How long opening a connection may take, or None for as long
        as the system allows.
    """

    __slots__ = ('connect_ms', 'fresh', 'idle_ms')

    def __init__(self, *, fresh=False, idle_ms=None, connect_ms=None):
        """Create the options.

        Args:
          fresh: See the class.
          idle_ms: See the class.
          connect_ms: See the class.
        """
        self.fresh = fresh
        self.idle_ms = idle_ms
        self.connect_ms = connect_ms


_DEFAULT_OPTIONS = CallOptions()


class HttpCall:
    """One request on its way, and the parser of its response.

    Attributes:
      status: The response's status, or None before it came.
      headers: The response's headers, names in lower case.
      raw_headers: The headers as they came, pairs of bytes.
    """

    __slots__ = (
        '_address',
        '_client',
        '_finished',
        '_parser',
        '_payload',
        '_sent',
        '_sink',
        '_until_close',
        'connecting',
        'headers',
        'is_new',
        'raw_headers',
        'sock',
        'status',
    )

    def __init__(self, client, address, payload, sink):
        """Create a call; the client starts it.

        Args:
          client: The HttpClient.
          address: A pair of IP number and port.
          payload: The bytes of the whole request.
          sink: A ResponseSink.
        """
        self._client = client
        self._address = address
        self._payload = payload
        self._sink = sink
        self._finished = False
        self._sent = False
        self._until_close = False
        self._parser = httptools.HttpResponseParser(self)
        self.connecting = None
        self.headers = {}
        self.is_new = False
        self.raw_headers = []
        self.status = None
        self.sock = None

    @property
    def address(self):
        """The pair of IP number and port that is called."""
        return self._address

    @property
    def sent(self):
        """Whether bytes of the request may have left, a bool."""
        return self._sent

    def start(self, sock, exc):
        """Send the request on a connection, or fail if there is none.

        Args:
          sock: A connected socket, or None.
          exc: The OSError if there is no socket.
        """
        self.connecting = None
        if self._finished:
            self._client.discard(sock)
        elif sock is None:
            self.fail(f'connect failed: {exc}')
        else:
            self.sock = sock
            self._sent = True
            self._client.attach(self)
            self._client.hub.write(sock, self._payload)
            self._payload = b''

    def receive(self, chunk):
        """Take bytes of the response.

        Args:
          chunk: Bytes as they came.
        """
        try:
            self._parser.feed_data(chunk)
        except httptools.HttpParserUpgrade:
            self.fail('the response changes the protocol')
        except httptools.HttpParserError as exc:
            self.fail(f'malformed response: {exc}')

    def receive_end(self, *, broken):
        """Take the end of the connection.

        A body without a length is whole only when its connection ended in an
        orderly way.

        Args:
          broken: Whether the connection ended by an error.
        """
        if self._until_close and not broken:
            self._complete(keep=False)
        else:
            self.fail(_CLOSED, connection_lost=True)

    def cancel(self):
        """Give the call up and close its connection; the sink hears nothing."""
        if not self._finished:
            self._finished = True
            self._client.detach(self, keep=False)

    def fail(self, text, *, connection_lost=False):
        """End the call with an error.

        Args:
          text: What happened.
          connection_lost: Whether the other side, or the network, ended the
            connection.
        """
        if not self._finished:
            self._finished = True
            self._client.detach(self, keep=False)
            self._sink.on_error(
                BackendError(
                    text, sent=self._sent, connection_lost=connection_lost
                )
            )

    def on_message_begin(self):
        """Parser callback: a response starts; a second one is one too many."""
        if self._finished:
            self._client.discard(self.sock)

    def on_header(self, name, text):
        """Parser callback: one header."""
        self.raw_headers.append((name, text))
        self.headers[name.lower().decode('latin-1')] = text.decode('latin-1')

    def on_headers_complete(self):
        """Parser callback: the head is whole."""
        if self._finished:
            return
        self.status = self._parser.get_status_code()
        if self.status < 200:  # noqa: WPS432  (informational responses)
            self.headers = {}
            self.raw_headers = []
            return
        self._until_close = (
            'content-length' not in self.headers
            and 'transfer-encoding' not in self.headers
            and self.status not in _NO_BODY_STATUSES
        )
        self._sink.on_head(self.status, self.headers)

    def on_body(self, chunk):
        """Parser callback: a part of the body."""
        if not self._finished:
            self._sink.on_body(chunk)

    def on_message_complete(self):
        """Parser callback: the response is whole."""
        if self.status >= 200:  # noqa: WPS432  (informational responses)
            self._complete(keep=self._parser.should_keep_alive())

    def _complete(self, *, keep):
        if not self._finished:
            self._finished = True
            self._client.detach(self, keep=keep)
            self._sink.on_done()


class HttpClient(BaseComponent):
    """Sends requests and keeps idle connections for the next ones.

    Attributes:
      opened: How many connections were opened, an int.
    """

    channel = 'hub'

    def __init__(self, channel='hub', timers=None):
        """Create the client with its own hub of connections.

        Args:
          channel: A name that is unique in the process.
          timers: A TimerService; without one, the limits on time of
            CallOptions are not kept.
        """
        super().__init__(channel=channel)
        self.hub = ConnectionHub(channel, self._on_bytes).register(self)
        self._timers = timers
        self._calls = {}
        self._idle = IdleConnections(self.hub.is_open, self._now_ms)
        self.opened = 0

    def send(self, address, payload, sink, options=_DEFAULT_OPTIONS):
        """Start a call.

        Args:
          address: A pair of IP number and port.
          payload: The bytes of the whole request.
          sink: A ResponseSink.
          options: CallOptions.
        Returns:
          An HttpCall.
        """
        call = HttpCall(self, address, payload, sink)
        sock = None
        if not options.fresh:
            sock = self._idle.take(address, options.idle_ms)
        if sock is not None:
            call.start(sock, None)
            return call
        self.opened += 1
        call.is_new = True
        call.connecting = self.hub.connect_to(*address, call.start)
        if options.connect_ms is not None and self._timers is not None:
            self._timers.after(
                options.connect_ms,
                partial(self._check_connected, call),
            )
        return call

    def ask_listening(self, address, on_known):
        """Find out whether anybody listens at an address.

        Args:
          address: A pair of IP number and port.
          on_known: A function of True, of False if the connection is refused,
            or of None if that is not known in time.
        """
        guard = None

        def take(sock, exc):
            if guard is not None:
                guard.cancel()
            if sock is not None:
                self.hub.abort(sock)
            on_known(_tell_listening(exc))

        connecting = self.hub.connect_to(*address, take)

        def give_up():
            if self.hub.give_up_connect(connecting):
                on_known(None)

        if connecting is not None and self._timers is not None:
            guard = self._timers.after(_LISTENING_MS, give_up)

    def has_idle(self, address, idle_ms=None):
        """Tell whether a connection is open that a call could use.

        Args:
          address: A pair of IP number and port.
          idle_ms: The longest time it may have been idle, or None.
        """
        return self._idle.has(address, idle_ms)

    def rests_at(self, address):
        """Tell whether any connection to an address is open and rests.

        Args:
          address: A pair of IP number and port.
        """
        return self._idle.rests_at(address)

    def close_idle(self, address):
        """Close all connections to an address that rest.

        Args:
          address: A pair of IP number and port.
        """
        for sock in self._idle.list_at(address):
            self.discard(sock)

    def attach(self, call):
        """Route the bytes of a call's connection to it."""
        self._calls[call.sock] = call

    def detach(self, call, *, keep):
        """Free a call's connection.

        Args:
          call: An HttpCall that ended.
          keep: Whether the connection may serve another call.
        """
        if call.connecting is not None:
            self.hub.give_up_connect(call.connecting)
            call.connecting = None
        sock = call.sock
        if self._calls.pop(sock, None) is None:
            return
        kept = keep and self._idle.add(call.address, sock, call.headers)
        if not kept:
            self.hub.abort(sock)

    def discard(self, sock):
        """Close a connection that nobody wants any more."""
        if sock is not None:
            self._idle.remove(sock)
            self.hub.abort(sock)

    def _now_ms(self):
        return 0 if self._timers is None else self._timers.clock.now_ms()

    def _check_connected(self, call):
        sock = call.connecting
        if sock is not None and self.hub.give_up_connect(sock):
            call.start(None, 'it took too long')

    def _on_bytes(self, sock, chunk):
        call = self._calls.get(sock)
        if call is None:
            # Nothing was asked on this connection, so the bytes are nobody's.
            self.discard(sock)
        else:
            call.receive(chunk)

    @handler('disconnect')
    def _on_disconnect(self, sock):
        broken = self.hub.take_broken(sock)
        call = self._calls.pop(sock, None)
        if call is None:
            self._idle.remove(sock)
        else:
            call.receive_end(broken=broken)

    @handler('error')
    def _on_error(self, *_args):
        """Take socket errors; the disconnect that follows is what counts."""


def _tell_listening(exc):
    """Return what the end of opening a connection tells.

    Args:
      exc: An OSError, or None if it was opened.
    Returns:
      True, False or None; see HttpClient.ask_listening.
    """
    if exc is None:
        return True
    return False if exc.errno == ECONNREFUSED else None


def build_request(method, address, path, body=b'', headers=()):
    """Return the bytes of an HTTP request.

    Args:
      method: The method, a string.
      address: A pair of IP number and port.
      path: The path with its query.
      body: Bytes.
      headers: Pairs of name and text; a Host among them replaces the usual.
    Returns:
      Bytes.
    """
    host, port = address
    lines = [f'{method} {path} HTTP/1.1']
    if not any(name.lower() == 'host' for name, _text in headers):
        lines.append(f'Host: {host}:{port}')
    lines.append(f'Content-Length: {len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body
