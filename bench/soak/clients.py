"""Clients of a soak, and the record of their attempts."""

import asyncio

import orjson

from bench.soak.fleet import now_s
from crankchute.platform.standin_http import format_message, read_message
from crankchute.platform.wire import (
    DEADLINE_MS,
    MODEL,
    PROMPT_PARTS,
    REQUEST_ID,
    RESOLVE_PATH,
    SIGNATURE,
    TOKEN_USAGE,
)

_SLACK_S = 2.5
_CONNECT_S = 1
#: Paths of routes that are in every configuration: whether a request may run
#: more than once, and whether it is a stream.
PATHS = {  # noqa: WPS407  (a table)
    '/again/': (True, False),
    '/once/': (False, False),
    '/once-two/': (False, False),
    '/stream/': (False, True),
    '/stream-two/': (False, True),
    '/resume/': (True, True),
}


class Attempt:
    """A request of a client and what came of it.

    Attributes:
      request_id: Its id.
      path: The path prefix of its route.
      instance: The name of the instance.
      sent, ended: Times in seconds.
      deadline_s: The deadline, from `sent`.
      reused: How many requests its connection had before.
      outcome: `answered`, `cut` (an answer without its end), `closed` (no
        answer), `silent` (nothing until the deadline and a slack) or `garbled`.
      status: The status of the answer, or None.
      faults: What was wrong with the answer, a list of strings.
    """

    __slots__ = (
        'deadline_s',
        'ended',
        'faults',
        'instance',
        'outcome',
        'path',
        'request_id',
        'reused',
        'sent',
        'status',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: Values of attributes.
        """
        self.faults = []
        self.status = None
        self.outcome = None
        self.ended = None
        for name, field in fields.items():
            setattr(self, name, field)

    @property
    def may_repeat(self):
        """Whether the request may run more than once."""
        return PATHS.get(self.path, (False, False))[0]


class Connection:
    """A connection of a client to an instance."""

    def __init__(self, instance, reader, writer):
        """Create the record of an open connection."""
        self.instance = instance
        self.reader = reader
        self.writer = writer
        self.requests = 0
        self.rested_from = now_s()


class Client:
    """Sends one request after another.

    Attributes:
      attempts: Attempts in order.
    """

    def __init__(self, fleet, config, random, ttl_factor):
        """Create the client.

        Args:
          fleet: The Fleet.
          config: The Config, for the idle time.
          random: A random.Random of its own.
          ttl_factor: For how many times their time to live it uses addresses,
            or None if it uses one until its process is gone.
        """
        self._fleet = fleet
        self._config = config
        self._random = random
        self._ttl_factor = ttl_factor
        self._addresses = []
        self._resolved_until = 0
        self._conn = None
        self._by_ip = {one.ip: one for one in fleet.instances}
        self.attempts = []

    async def run(self, seconds):
        """Send requests for some seconds."""
        end = now_s() + seconds
        while now_s() < end:
            await asyncio.sleep(self._random.uniform(0, 0.8))
            await self._connect()
            if self._conn is None:
                await asyncio.sleep(0.2)
            else:
                await self._send_next()
        self._close()

    def _close(self):
        if self._conn is not None:
            self._conn.writer.close()
            self._conn = None

    async def _connect(self):
        if self._ttl_factor is not None or not self._addresses:
            await self._resolve()
        conn = self._conn
        if conn is not None:
            is_listed = conn.instance.ip in self._addresses
            rest_s = now_s() - conn.rested_from
            if conn.reader.at_eof() or rest_s > 0.8 * self._config.idle_s():
                self._close()
            elif self._ttl_factor is not None and not is_listed:
                self._close()
        if self._conn is None and self._addresses:
            await self._open()

    async def _open(self):
        ip = self._random.choice(self._addresses)
        if self._ttl_factor is None:
            ip = self._addresses[0]
        instance = self._by_ip[ip]
        try:
            streams = await asyncio.wait_for(
                asyncio.open_connection(*instance.address('frontend')),
                _CONNECT_S,
            )
        except (OSError, asyncio.TimeoutError):
            self._addresses.remove(ip)
            return
        self._conn = Connection(instance, *streams)

    async def _resolve(self):
        if now_s() < self._resolved_until and self._addresses:
            return
        instances = list(self._fleet.instances)
        for instance in self._random.sample(instances, min(3, len(instances))):
            try:
                document = await asyncio.wait_for(self._ask(instance), 1)
            except (OSError, ValueError, asyncio.TimeoutError):
                continue
            if document is not None:
                self._take_addresses(document)
                return

    def _take_addresses(self, document):
        found = [one.split(':')[0] for one in document['addresses']]
        self._random.shuffle(found)
        self._addresses = found
        ttl_s = min(document['ttl-s'], 5) * (self._ttl_factor or 1)
        self._resolved_until = now_s() + ttl_s

    async def _ask(self, instance):
        reader, writer = await asyncio.open_connection(
            *instance.address('directory')
        )
        try:
            line = f'GET {RESOLVE_PATH}?name=a.example&zone=z0 HTTP/1.1'
            writer.write(format_message(line, [('host', 'a.example')], b''))
            message = await read_message(reader)
        finally:
            writer.close()
        if message is None or message.status != 200:
            return None
        return orjson.loads(message.body)

    async def _send_next(self):
        paths = list(PATHS) + self._config.extra[-1:]
        path = self._random.choice(paths)
        conn = self._conn
        attempt = Attempt(
            request_id=f'{self._random.randrange(1 << 64):016x}',
            path=path,
            instance=conn.instance.name,
            sent=now_s(),
            deadline_s=self._random.choice((3, 6, 10)),
            reused=conn.requests,
        )
        self.attempts.append(attempt)
        conn.requests += 1
        work = self._choose_work(attempt)
        try:
            conn.writer.write(_format_request(attempt, work))
            message = await asyncio.wait_for(
                read_message(conn.reader), attempt.deadline_s + _SLACK_S
            )
        except asyncio.TimeoutError:
            attempt.outcome = 'silent'
        except OSError:
            attempt.outcome = 'closed'
        except ValueError as exc:
            attempt.outcome = 'garbled'
            attempt.faults.append(str(exc))
        else:
            _judge(attempt, message, work)
        attempt.ended = conn.rested_from = now_s()
        is_last = (
            message_is_last(attempt, message)
            if (attempt.outcome == 'answered')
            else True
        )
        if is_last:
            self._close()

    def _choose_work(self, attempt):
        is_stream = PATHS.get(attempt.path, (False, False))[1]
        work = {'id': attempt.request_id, 'events': 0}
        if is_stream:
            work['ms'] = self._random.randint(20, 300)
            work['events'] = self._random.choice((3, 20, 60))
            work['gap_ms'] = 60
        else:
            work['ms'] = self._random.choice((2, 10, 50, 200, 700, 2500, 5100))
        return work


def message_is_last(attempt, message):
    """Return whether an answer says that its connection is closed."""
    return message.headers.get('connection', '').lower() == 'close'


def _format_request(attempt, work):
    headers = [
        ('host', 'a.example'),
        (REQUEST_ID, attempt.request_id),
        (DEADLINE_MS, str(int(attempt.deadline_s * 1000))),
    ]
    if work['events']:
        headers.extend(
            (
                (MODEL, 'm'),
                (TOKEN_USAGE, f'800,{work["events"]}'),
                (PROMPT_PARTS, f'5c1e07a2:500,{attempt.request_id}:300'),
            )
        )
    line = f'POST {attempt.path}x HTTP/1.1'
    return format_message(line, headers, orjson.dumps(work))


def _judge(attempt, message, work):
    if message is None:
        attempt.outcome = 'closed'
        return
    attempt.status = message.status
    attempt.outcome = 'answered' if message.is_whole else 'cut'
    if message.status != 200:
        return
    if SIGNATURE not in message.headers:
        attempt.faults.append('no signature')
    if message.headers.get(REQUEST_ID) != attempt.request_id:
        attempt.faults.append(f'id {message.headers.get(REQUEST_ID)}')
    expected = b'answer to ' + attempt.request_id.encode() + b'.' * 300
    if work['events']:
        expected = b''.join(
            f'id: {number}\ndata: {attempt.request_id} {number}\n\n'.encode()
            for number in range(work['events'])
        )
    if message.is_whole and message.body != expected:
        attempt.faults.append('another body')
    elif not expected.startswith(message.body):
        attempt.faults.append('another beginning of the body')
