"""A stand-in of a replica of a plain service."""

import asyncio
import time

import http11


class Replica:
    """A replica that answers requests, and notes each of them.

    Attributes:
      identity: Its id.
      address: The pair of host and port.
      runs: Pairs of the time of arrival and the Request that it ran.
    """

    def __init__(self, identity, service, zone, work_ms=5):
        self.identity = identity
        self.service = service
        self.zone = zone
        self.work_ms = work_ms
        self.address = None
        self.runs = []
        self.on_run = None

    async def listen(self, host):
        """Start to listen."""
        server = await http11.serve(host, 0, self._respond)
        self.address = server.sockets[0].getsockname()[:2]

    def entry(self, state='ready'):
        """Return the document of the replica's entry in the store."""
        return {
            'service': self.service,
            'address': '{0}:{1}'.format(*self.address),
            'zone': self.zone,
            'version': 'v1',
            'slots': 6,
            'state': state,
            'cold-remaining-ms': 0,
            'sequence': 0,
        }

    async def _respond(self, request, _writer):
        headers = request.headers
        request_id = headers.get('x-crankchute-request-id', '')
        target = headers.get('x-crankchute-target-instance', self.identity)
        if target != self.identity:
            return http11.render(
                'HTTP/1.1 421 Misdirected Request',
                [('X-Crankchute-Instance-Id', self.identity)],
                b'',
            )
        if request.target == '/healthz':
            return http11.render(
                'HTTP/1.1 200 OK',
                [('X-Crankchute-Instance-Id', self.identity)],
                b'',
            )
        self.runs.append((time.time(), request))
        if self.on_run is not None:
            self.on_run(self, request)
        await asyncio.sleep(self.work_ms / 1000)
        return http11.render(
            'HTTP/1.1 200 OK',
            [
                ('X-Crankchute-Request-Id', request_id),
                (
                    'X-Crankchute-Response-Signature',
                    f'{self.identity}.{request_id}',
                ),
            ],
            f'answer of {self.identity} to {request_id}'.encode(),
        )
