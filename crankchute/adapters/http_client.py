"""The HTTP client side: streamed responses over the connection hub."""

from collections import defaultdict

import httptools
from circuits import BaseComponent, handler

from crankchute.adapters.sockets import ConnectionHub
from crankchute.errors import BackendError

_IDLE_PER_ADDRESS = 32


class HttpCall:
    """One request on its way, and the parser of its response.

    Attributes:
      status: The response's status, or None before it came.
      headers: The response's headers, names in lower case.
    """

    __slots__ = (
        '_address',
        '_client',
        '_finished',
        '_parser',
        '_payload',
        '_sent',
        '_sink',
        'headers',
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
        self._parser = httptools.HttpResponseParser(self)
        self.headers = {}
        self.status = None
        self.sock = None

    @property
    def address(self):
        """The pair of IP number and port that is called."""
        return self._address

    def start(self, sock, exc):
        """Send the request on a connection, or fail if there is none.

        Args:
          sock: A connected socket, or None.
          exc: The OSError if there is no socket.
        """
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
        except httptools.HttpParserError as exc:
            self.fail(f'malformed response: {exc}')

    def cancel(self):
        """Give the call up and close its connection; the sink hears nothing."""
        if not self._finished:
            self._finished = True
            self._client.detach(self, keep=False)

    def fail(self, text):
        """End the call with an error.

        Args:
          text: What happened.
        """
        if not self._finished:
            self._finished = True
            self._client.detach(self, keep=False)
            self._sink.on_error(BackendError(text, sent=self._sent))

    def on_header(self, name, text):
        """Parser callback: one header."""
        self.headers[name.lower().decode()] = text.decode('latin-1')

    def on_headers_complete(self):
        """Parser callback: the head is whole."""
        self.status = self._parser.get_status_code()
        if not self._finished:
            self._sink.on_head(self.status, self.headers)

    def on_body(self, chunk):
        """Parser callback: a part of the body."""
        if not self._finished:
            self._sink.on_body(chunk)

    def on_message_complete(self):
        """Parser callback: the response is whole."""
        if not self._finished:
            self._finished = True
            keep = self._parser.should_keep_alive()
            self._client.detach(self, keep=keep)
            self._sink.on_done()


class HttpClient(BaseComponent):
    """Sends requests and keeps idle connections for the next ones."""

    channel = 'hub'

    def __init__(self, channel='hub'):
        """Create the client with its own hub of connections.

        Args:
          channel: A name that is unique in the process.
        """
        super().__init__(channel=channel)
        self.hub = ConnectionHub(channel, self._on_bytes).register(self)
        self._calls = {}
        self._idle = defaultdict(list)

    def send(self, address, payload, sink, *, fresh=False):
        """Start a call.

        Args:
          address: A pair of IP number and port.
          payload: The bytes of the whole request.
          sink: A ResponseSink.
          fresh: Whether a connection of its own must be opened, so that a
            connection closed by the other side cannot be mistaken for a
            request that arrived.
        Returns:
          An HttpCall.
        """
        call = HttpCall(self, address, payload, sink)
        sock = None if fresh else self._take_idle(address)
        if sock is None:
            self.hub.connect_to(*address, call.start)
        else:
            call.start(sock, None)
        return call

    def attach(self, call):
        """Route the bytes of a call's connection to it."""
        self._calls[call.sock] = call

    def detach(self, call, *, keep):
        """Free a call's connection.

        Args:
          call: An HttpCall that ended.
          keep: Whether the connection may serve another call.
        """
        sock = call.sock
        if self._calls.pop(sock, None) is None:
            return
        idle = self._idle[call.address]
        if keep and len(idle) < _IDLE_PER_ADDRESS:
            idle.append(sock)
        else:
            self.hub.abort(sock)

    def discard(self, sock):
        """Close a connection that nobody wants any more."""
        if sock is not None:
            self.hub.abort(sock)

    def _on_bytes(self, sock, chunk):
        call = self._calls.get(sock)
        if call is not None:
            call.receive(chunk)

    @handler('disconnect')
    def _on_disconnect(self, sock):
        call = self._calls.pop(sock, None)
        if call is not None:
            call.fail('the connection was closed')
            return
        for idle in self._idle.values():
            if sock in idle:
                idle.remove(sock)
                break

    @handler('error')
    def _on_error(self, *_args):
        """Take socket errors; the disconnect that follows is what counts."""

    def _take_idle(self, address):
        idle = self._idle[address]
        while idle:
            sock = idle.pop()
            if self.hub.is_open(sock):
                return sock
        return None


def build_request(method, address, path, body=b'', headers=()):
    """Return the bytes of an HTTP request.

    Args:
      method: The method, a string.
      address: A pair of IP number and port.
      path: The path with its query.
      body: Bytes.
      headers: Pairs of name and text.
    Returns:
      Bytes.
    """
    host, port = address
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}:{port}',
        f'Content-Length: {len(body)}',
    ]
    lines.extend(f'{name}: {text}' for name, text in headers)
    lines.append('\r\n')
    return '\r\n'.join(lines).encode('latin-1') + body
