"""An HTTP client with streamed responses and reused connections."""

from errno import ECONNREFUSED
from functools import partial

from circuits import BaseComponent, handler

from crankchute.adapters.http_call import CallOptions, HttpCall
from crankchute.adapters.idle_connections import IdleConnections
from crankchute.adapters.connection_hub import ConnectionHub

#: Time limit of a connection probe, in milliseconds.  A lost SYN is sent again
#: after one second.
_PROBE_TIMEOUT_MS = 1500
_DEFAULT_OPTIONS = CallOptions()
#: Bodies up to this size are sent together with the head, in one call.
_MAX_JOINED_BYTES = 65_536


class HttpClient(BaseComponent):
    """Sends requests and reuses idle connections.

    Attributes:
      opened: The number of connections opened, an int.
    """

    channel = 'hub'

    def __init__(self, channel='hub', timers=None):
        """Create the client and its ConnectionHub.

        Args:
          channel: A name that is unique in the process.
          timers: A TimerService; without one, the time limits of
            CallOptions are not enforced.
        """
        super().__init__(channel=channel)
        hub = ConnectionHub(channel, self._on_bytes, timers)
        hub.depends_on_end = self._depends_on_end
        self.hub = hub.register(self)
        self._timers = timers
        self._calls = {}
        self._idle = IdleConnections(self.hub.is_open, self._now_ms)
        self.opened = 0

    def send(self, address, payload, sink, options=_DEFAULT_OPTIONS):
        """Start a call.

        Args:
          address: A pair of IP number and port.
          payload: The bytes of the request, or a tuple of its parts.
          sink: A ResponseSink.
          options: CallOptions.
        Returns:
          An HttpCall.
        """
        parts = payload if isinstance(payload, tuple) else (payload,)
        call = HttpCall(self, address, parts, sink, options.attribution)
        sock = None
        if not options.fresh:
            sock = self._idle.take(
                address, options.idle_ms, options.attribution
            )
        if sock is not None:
            call.start(sock, None)
            return call
        self.opened += 1
        call.is_new = True
        call.connecting = self.hub.connect_to(*address, call.start)
        if options.connect_ms is not None and self._timers is not None:
            self._timers.after(
                options.connect_ms,
                partial(self._on_connect_timeout, call),
            )
        return call

    def ask_listening(self, address, on_known, *, timeout_ms=_PROBE_TIMEOUT_MS):
        """Probe whether a process listens at an address.

        Args:
          address: A pair of IP number and port.
          timeout_ms: The time limit.
          on_known: Called with True, with False if the connection is refused,
            or with None if neither is known in time.
        """
        timeout = None

        def on_connected(sock, exc):
            if timeout is not None:
                timeout.cancel()
            if sock is not None:
                self.hub.abort(sock)
            on_known(_interpret_connect_result(exc))

        connecting = self.hub.connect_to(*address, on_connected)

        def on_timeout():
            if self.hub.cancel_connect(connecting):
                on_known(None)

        if connecting is not None and self._timers is not None:
            timeout = self._timers.after(timeout_ms, on_timeout)

    def has_idle(self, address, idle_ms=None):
        """Tell whether a call could reuse an idle connection.

        Args:
          address: A pair of IP number and port.
          idle_ms: The longest time it may have been idle, or None.
        """
        return self._idle.has(address, idle_ms)

    def rests_at(self, address):
        """Tell whether any idle connection to an address is open.

        Args:
          address: A pair of IP number and port.
        """
        return self._idle.has_any(address)

    def close_idle(self, address):
        """Close all idle connections to an address.

        Args:
          address: A pair of IP number and port.
        """
        for sock in self._idle.list_sockets(address):
            self.discard(sock)

    def attach(self, call):
        """Route the bytes received on a call's connection to the call."""
        self._calls[call.sock] = call

    def detach(self, call, *, keep):
        """Release a call's connection.

        Args:
          call: An HttpCall that ended.
          keep: Whether the connection may be reused.
        """
        if call.connecting is not None:
            self.hub.cancel_connect(call.connecting)
            call.connecting = None
        sock = call.sock
        if self._calls.pop(sock, None) is None:
            return
        # A response can end in the bytes that caused a pause.
        self.hub.resume_reading(sock)
        # The rest of a request that was answered early would stay in memory.
        is_reusable = keep and self.hub.is_open(sock)
        is_reusable = is_reusable and not self.hub.holds_view(sock)
        kept = is_reusable and self._idle.add(
            call.address, sock, call.headers, call.attribution
        )
        if not kept:
            self.hub.abort(sock)

    def discard(self, sock):
        """Close a connection that is no longer needed."""
        if sock is not None:
            self._idle.remove(sock)
            self.hub.abort(sock)

    def label_of(self, sock):
        """Return the server's "IP:port", or None if a socket has no call."""
        call = self._calls.get(sock)
        return None if call is None else '{0}:{1}'.format(*call.address)

    def count_queued(self, sock):
        """See DirectServer."""
        return self.hub.count_queued(sock)

    def end_slow(self, sock):
        """Fail the call whose request the server does not read.

        Args:
          sock: The socket of the call.
        """
        call = self._calls.get(sock)
        if call is None:
            self.discard(sock)
        else:
            call.fail('the backend server does not read the request')

    def _now_ms(self):
        return 0 if self._timers is None else self._timers.clock.now_ms()

    def _on_connect_timeout(self, call):
        sock = call.connecting
        if sock is not None and self.hub.cancel_connect(sock):
            call.start(None, 'it took too long')

    def _on_bytes(self, sock, chunk):
        call = self._calls.get(sock)
        if call is None:
            # Bytes on an idle connection belong to no response.
            self.discard(sock)
        else:
            call.receive(chunk)

    def _depends_on_end(self, sock):
        """Tell whether only the end of a connection tells that of an answer."""
        call = self._calls.get(sock)
        return call is not None and call.ends_with_connection

    @handler('disconnect')
    def _on_disconnect(self, sock):
        error = self.hub.pop_error(sock)
        call = self._calls.pop(sock, None)
        if call is None:
            self._idle.remove(sock)
        else:
            call.receive_end(error)

    @handler('error')
    def _on_error(self, *_args):
        """Ignore socket errors, since a disconnect event follows each."""


def _interpret_connect_result(exc):
    """Return what the result of a connection attempt shows.

    Args:
      exc: An OSError, or None if the connection was opened.
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
      headers: Pairs of name and text; a Host header replaces the default.
    Returns:
      Bytes.
    """
    head = _render_head(method, address, path, len(body), headers)
    return head + body


def build_request_parts(method, address, path, body, headers):
    """Return the parts of an HTTP request, without a copy of a large body.

    Args:
      method: See build_request.
      address: See build_request.
      path: See build_request.
      body: Bytes.
      headers: See build_request.
    Returns:
      A tuple of bytes and views.
    """
    head = _render_head(method, address, path, len(body), headers)
    if len(body) > _MAX_JOINED_BYTES:
        return head, memoryview(body)
    return (head + body,)


def _render_head(method, address, path, length, headers):
    host, port = address
    lines = [f'{method} {path} HTTP/1.1']
    if not any(name.lower() == 'host' for name, _text in headers):
        lines.append(f'Host: {host}:{port}')
    lines.append(f'Content-Length: {length}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1')
