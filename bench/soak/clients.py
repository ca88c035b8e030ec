"""Clients of a soak."""

import asyncio
from http import HTTPStatus

import orjson

from bench.soak.attempts import Attempt
from bench.soak.config import ROUTES
from bench.soak.fleet import now_s
from crankchute.platform.standin_http import read_message
from crankchute.platform.wire import RESOLVE_PATH

#: Long, so that a busy machine alone makes no request look unanswered.
_SLACK_S = 8
_CONNECT_S = 1
_RESOLVE_S = 1
_RETRY_S = 0.2
_LONGEST_PAUSE_S = 0.8
_TTL_MAX_S = 5
_MAX_LOOKUPS = 3
#: The share of the idle time for which a connection may rest.
_REST_SHARE = 0.8
_PATHS = tuple(fields[0] for fields in ROUTES)


class Client:
    """Sends one request after another, on one connection as long as it can.

    Attributes:
      attempts: The Attempts in order.
    """

    def __init__(self, fleet, config, random, ttl_factor):
        """Create the client.

        Args:
          fleet: The Fleet.
          config: The Config, for the routes and the idle time.
          random: A random.Random of its own.
          ttl_factor: For how many times their time to live it uses addresses,
            or None if it uses one until its process is gone.
        """
        self.attempts = []
        self._instances = {one.ip: one for one in fleet.instances}
        self._config = config
        self._random = random
        self._ttl_factor = ttl_factor
        self._addresses = []
        self._resolved_until = 0
        self._instance = None
        self._reader = None
        self._writer = None
        self._requests = 0
        self._rests_from = 0

    async def send_long(self, instance, path):
        """Send one long request on a connection of its own.

        Args:
          instance: The Instance.
          path: The path prefix of its route.
        """
        self._addresses = [instance.ip]
        await self._open()
        if self._writer is None:
            return
        attempt = Attempt(self._random, path, instance.name, 0)
        attempt.lengthen()
        self.attempts.append(attempt)
        await self._exchange(attempt)
        attempt.ended = now_s()
        self._close()

    async def send_late(self, instance, path, delay_s):
        """Send a long stream after a while, on a connection opened before.

        Args:
          instance: The Instance.
          path: The path prefix of its route.
          delay_s: The time before it is sent, in seconds.
        """
        self._addresses = [instance.ip]
        await self._open()
        if self._writer is None:
            return
        await asyncio.sleep(delay_s)
        attempt = Attempt(self._random, path, instance.name, 0)
        attempt.lengthen_stream()
        self.attempts.append(attempt)
        await self._exchange(attempt)
        attempt.ended = now_s()
        self._close()

    async def run(self, seconds):
        """Send requests for some seconds.

        Args:
          seconds: For how long.
        """
        end = now_s() + seconds
        while now_s() < end:
            await asyncio.sleep(self._random.uniform(0, _LONGEST_PAUSE_S))
            await self._connect()
            if self._writer is None:
                await asyncio.sleep(_RETRY_S)
            else:
                await self._send_next()
        self._close()

    def _close(self):
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    async def _connect(self):
        has_expired = self._ttl_factor and now_s() > self._resolved_until
        if has_expired or not self._addresses:
            await self._resolve()
        if self._writer is not None and not self._may_reuse():
            self._close()
        if self._writer is None and self._addresses:
            await self._open()

    def _may_reuse(self):
        rest_s = now_s() - self._rests_from
        if (
            self._reader.at_eof()
            or rest_s > _REST_SHARE * self._config.idle_s()
        ):
            return False
        return self._ttl_factor is None or self._instance.ip in self._addresses

    async def _open(self):
        ip = self._addresses[0]
        if self._ttl_factor is not None:
            ip = self._random.choice(self._addresses)
        instance = self._instances[ip]
        opening = asyncio.open_connection(*instance.address('frontend'))
        try:
            reader, writer = await asyncio.wait_for(opening, _CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            self._addresses.remove(ip)
            return
        self._instance = instance
        self._reader = reader
        self._writer = writer
        self._requests = 0
        self._rests_from = now_s()

    async def _resolve(self):
        asked = self._random.sample(
            list(self._instances.values()), len(self._instances)
        )
        found = None
        for instance in asked[:_MAX_LOOKUPS]:
            if found is None:
                found = await self._ask(instance)  # noqa: WPS476  (in turn)
        if found is not None:
            self._addresses = [
                address.split(':')[0] for address in found['addresses']
            ]
            self._random.shuffle(self._addresses)
            ttl_s = min(found['ttl-s'], _TTL_MAX_S) * (self._ttl_factor or 1)
            self._resolved_until = now_s() + ttl_s

    async def _ask(self, instance):
        target = f'{RESOLVE_PATH}?name=a.example&zone=z0'
        try:
            message = await asyncio.wait_for(
                instance.fetch('directory', target), _RESOLVE_S
            )
        except (OSError, asyncio.TimeoutError):
            return None
        if message is None or message.status != HTTPStatus.OK:
            return None
        return orjson.loads(message.body)

    async def _send_next(self):
        paths = (*_PATHS, *self._config.added_paths[-1:])
        attempt = Attempt(
            self._random,
            self._random.choice(paths),
            self._instance.name,
            self._requests,
        )
        self.attempts.append(attempt)
        self._requests += 1
        await self._exchange(attempt)
        attempt.ended = now_s()
        self._rests_from = attempt.ended
        if attempt.closes:
            self._close()

    async def _exchange(self, attempt):
        wait_s = attempt.deadline_s + _SLACK_S
        try:
            message = await asyncio.wait_for(self._call(attempt), wait_s)
        except asyncio.TimeoutError:
            attempt.outcome = 'silent'
        except OSError:
            attempt.outcome = 'closed'
        except ValueError as exc:
            attempt.outcome = 'garbled'
            attempt.faults.append(f'no answer in the protocol: {exc}')
        else:
            attempt.take(message)

    async def _call(self, attempt):
        payload = attempt.format()
        middle = len(payload) // 2
        self._writer.write(payload[:middle])
        await asyncio.sleep(attempt.write_pause_s)
        self._writer.write(payload[middle:])
        await asyncio.sleep(attempt.read_pause_s)
        return await read_message(self._reader)
