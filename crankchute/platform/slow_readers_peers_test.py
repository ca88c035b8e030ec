"""Callers and servers that tests drive over raw sockets."""

import socket

import httptools

from crankchute.platform.wire import REQUEST_ID, SIGNATURE

_LOOPBACK = '127.0.0.1'
READ = 65_536
_HEAD = (
    f'HTTP/1.1 200 OK\r\n{REQUEST_ID}: %s\r\n{SIGNATURE}: s\r\n'
    'Content-Type: text/event-stream\r\n%s\r\n\r\n'
)


class ServerConnection:
    """The server's side of a connection, which the test drives."""

    def __init__(self, sock):
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65_536)
        self.sock = sock
        self.reads = True
        self.received = b''
        self.pending = b''
        self.sent = 0
        self.is_cut = False

    def start(self, headers='Transfer-Encoding: chunked'):
        request_id = find_header(self.received, REQUEST_ID)
        head = _HEAD % (request_id, headers)
        self.pending += head.encode()

    def send_event(self, event):
        self.pending += b'%x\r\n%b\r\n' % (len(event), event)

    def finish(self):
        self.pending = b''.join((self.pending, b'0\r\n\r\n'))

    def pump(self):
        if self.reads and not self.is_cut:
            self._receive()
        if self.pending and not self.is_cut:
            self._send()

    def _receive(self):
        try:
            chunk = self.sock.recv(READ)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        self.received += chunk
        self.is_cut = not chunk

    def _send(self):
        try:
            sent = self.sock.send(self.pending[:READ])
        except BlockingIOError:
            return
        except OSError:
            self.is_cut = True
            return
        self.sent += sent
        self.pending = self.pending[sent:]


class Caller:
    """A caller that reads only when the test says so."""

    def __init__(self, port, path, body=b'', rcvbuf=65_536):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, rcvbuf)
        self.sock.connect((_LOOPBACK, port))
        self.sock.setblocking(False)
        head = (
            f'POST {path} HTTP/1.1\r\nHost: a\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.pending = head.encode() + body
        self.status = None
        self.received = b''
        self.is_whole = False
        self.is_closed = False
        self._parser = httptools.HttpResponseParser(self)

    def on_body(self, chunk):
        self.received += chunk

    def on_message_complete(self):
        self.is_whole = True

    def send(self, limit=READ):
        """Send a part of the request."""
        try:
            sent = self.sock.send(self.pending[:limit])
        except BlockingIOError:
            return
        self.pending = self.pending[sent:]

    def read(self, limit=READ):
        try:
            chunk = self.sock.recv(limit)
        except BlockingIOError:
            return
        except OSError:
            chunk = b''
        if chunk:
            self._parser.feed_data(chunk)
            self.status = self._parser.get_status_code()
        else:
            self.is_closed = True


def find_header(received, name):
    for line in received.decode('latin-1').split('\r\n'):
        key, _colon, text = line.partition(': ')
        if key.lower() == name:
            return text
    return None
