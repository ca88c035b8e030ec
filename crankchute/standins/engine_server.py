"""The HTTP interface of the engine stand-in."""

import secrets
import zlib
from http import HTTPStatus

import orjson

from crankchute.adapters.http_client import HttpClient, build_request
from crankchute.adapters.http_server import HttpServer
from crankchute.adapters.routes import Routes, read_json, read_query
from crankchute.adapters.sse import DONE, EVENT_STREAM, write_event
from crankchute.core.prefix_index import hash_blocks
from crankchute.ports.http import WholeResponse
from crankchute.standins.engine_loading import ModelLoader
from crankchute.standins.engine_model import EngineModel, Work, seed_answer
from crankchute.standins.faults import Fault, FaultMode

_SNAPSHOT_MS = 200
_SWEEP_MS = 250
_BUSY_RETRY_MS = 100
_CROSSED_ID = 'somebody-else'
routes = Routes()


class Generation:
    """One streamed answer, with the faults that hit it."""

    __slots__ = ('_engine', '_exchange', '_fault', '_head', '_held', 'key')

    def __init__(self, engine, exchange, order, fault):
        """Create the record.

        Args:
          engine: The EngineServer.
          exchange: The Exchange.
          order: The request's document.
          fault: The mode in effect for this answer.
        """
        self._engine = engine
        self._exchange = exchange
        self._fault = fault
        self._held = []
        self._head = {
            'id': order['request_id'],
            'attempt': order['attempt'],
            'boot': engine.boot,
        }
        self.key = (order['request_id'], order['attempt'], secrets.token_hex(4))

    def on_token(self, offset, token):
        """Send one token, or what the fault makes of it."""
        if self._fault == FaultMode.FREEZE:
            return
        if self._fault == FaultMode.TRUNCATE and offset == 2:
            self._engine.model.cancel(self.key)
            self._exchange.finish()
            return
        if self._fault == FaultMode.CROSS and offset % 3 == 1:
            crossed = dict(self._head, id=_CROSSED_ID)
            self._send(crossed, offset, ['crossed '])
        if self._fault == FaultMode.DROP and offset == 2:
            return
        self._held.append(token)
        if len(self._held) < self._engine.tokens_per_event:
            return
        self._flush(offset + 1)

    def on_done(self, work):
        """Send the end mark, or break the stream off after an expiry."""
        if self._fault == FaultMode.FREEZE:
            return
        if work is None:
            self._exchange.abort()
            return
        self._flush(work.offset)
        end = dict(self._head, offset=work.offset, count=work.max_tokens)
        self._exchange.send(write_event(end) + DONE)
        self._exchange.finish()

    def on_gone(self):
        """Free everything when the caller is gone."""
        self._engine.model.cancel(self.key)

    def _flush(self, next_offset):
        tokens = self._held
        if not tokens:
            return
        self._held = []
        first = next_offset - len(tokens)
        self._send(self._head, first, tokens)
        if self._fault == FaultMode.DUPLICATE:
            self._send(self._head, first, tokens)

    def _send(self, head, offset, tokens):
        event = dict(head, offset=offset, tokens=tokens)
        self._exchange.send(write_event(event))


class EngineServer:
    """An engine stand-in on the network.

    Attributes:
      boot: The random id of this incarnation.
      tokens_per_event: How many tokens an event of a stream carries.
      model: The EngineModel.
      loader: The ModelLoader.
    """

    def __init__(self, loop, bind, settings, **options):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP number and port.
          settings: EngineSettings.
          options: `models` (a map of names to versions held at the start),
            `checks_fences` (a bool), `weights` (the weight store's address
            or None), `tokens_per_event` (how many tokens an event carries).
        """
        self._timers = loop.timers
        self._fault = Fault()
        self._leaving = False
        self._snapshots = []
        self.tokens_per_event = options.get('tokens_per_event', 1)
        self.boot = secrets.token_hex(4)
        self.model = EngineModel(loop.timers, settings)
        self._client = HttpClient(channel=f'engine-out-{bind[1]}')
        self._client.register(loop)
        self.loader = ModelLoader(self._client, loop.timers, options)
        self.http = HttpServer(
            bind,
            self._on_request,
            loop.timers,
            channel=f'engine-{bind[1]}',
        ).register(loop)
        loop.timers.every(_SWEEP_MS, self.model.memory.release_expired)
        loop.timers.every(_SNAPSHOT_MS, self._take_snapshot)
        self._take_snapshot()

    @routes.add('POST', '/v1/generate')
    def generate(self, exchange):
        """Answer a prompt with a stream."""
        order = read_json(exchange)
        fault = self._fault.take()
        if fault == FaultMode.REFUSE or self._leaving:
            _refuse(exchange, 'leaving', None)
            return
        if order['model'] not in self.loader.models:
            _refuse(exchange, 'no_model', _BUSY_RETRY_MS)
            return
        if fault == FaultMode.DELAY:
            delay_ms = self._fault.delay_ms
            self._timers.after(
                delay_ms,
                lambda: self._import(exchange, order, fault),
            )
            return
        self._import(exchange, order, fault)

    @routes.add('POST', '/v1/holds')
    def hold(self, exchange):
        """Set memory aside for a group."""
        order = read_json(exchange)
        expiry_ms = self._timers.clock.now_ms() + order['deadline_ms']
        memory = self.model.memory
        if self._leaving or not memory.hold(
            order['group'],
            order['tokens'],
            expiry_ms,
        ):
            _refuse(exchange, 'no_memory', _BUSY_RETRY_MS)
            return
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/v1/holds/release')
    def release(self, exchange):
        """Free what a group holds."""
        self.model.memory.release(read_json(exchange)['group'])
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/v1/segments')
    def prefill(self, exchange):
        """Prefill one segment of a group and keep it for import."""
        order = read_json(exchange)
        hold = self.model.memory.holds.get(order['group'])
        if hold is None:
            _refuse(exchange, 'no_hold', None)
            return
        prompt = order['prompt'].encode()
        crc = zlib.crc32(prompt, _read_carry(order))

        def finish(work):
            if work is None:
                exchange.abort()
                return
            hold.carries[order['index']] = str(crc)
            exchange.reply(HTTPStatus.OK, {'carry': str(crc)})

        key = (order['group'], order['index'])
        work = Work(
            key,
            priority=order['priority'],
            left=self.model.count_tokens(prompt),
            need=0,
            crc=crc,
            max_tokens=0,
            deadline_ms=self._timers.clock.now_ms() + order['deadline_ms'],
            on_done=finish,
        )
        exchange.on_gone = lambda: self.model.cancel(key)
        self.model.submit(work)

    @routes.add('GET', '/v1/kv')
    def export(self, exchange):
        """Export what a segment left, for another engine to import."""
        query = read_query(exchange)
        hold = self.model.memory.holds.get(query['group'])
        carry = hold and hold.carries.get(int(query['index']))
        if not carry:
            _refuse(exchange, 'no_segment', None)
            return
        exchange.reply(HTTPStatus.OK, {'carry': carry})

    @routes.add('GET', '/v1/load')
    def report(self, exchange):
        """Report load with a lag, and cache events late and with gaps."""
        since = int(read_query(exchange).get('since', '0'))
        snapshot = self._snapshots[0]
        now_ms = self._timers.clock.now_ms()
        events = [
            [event.sequence, event.stored, event.evicted]
            for event in self.model.memory.events
            if event.sequence > since and event.at_ms < now_ms - _SNAPSHOT_MS
        ]
        if self._fault.mode == FaultMode.GAP:
            events = events[1:]
        document = dict(
            snapshot,
            boot=self.boot,
            leaving=self._leaving,
            models=self.loader.models,
            adapters=self.loader.adapters,
            role=self.loader.role,
            checks_fences=self.loader.checks_fences,
            events=events,
        )
        exchange.reply(HTTPStatus.OK, document)

    @routes.add('POST', '/v1/orders')
    def order(self, exchange):
        """Take a fenced order for what to hold."""
        if self.loader.take(read_json(exchange)):
            exchange.reply(HTTPStatus.OK, {'models': self.loader.models})
        else:
            _refuse(exchange, 'stale_fence', None)

    @routes.add('POST', '/admin/fault')
    def arrange_fault(self, exchange):
        """Take a fault."""
        self._fault.arrange(read_json(exchange))
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/admin/leave')
    def leave(self, exchange):
        """Take no new work from now on."""
        self._leaving = True
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('GET', '/admin/state')
    def state(self, exchange):
        """Tell what the engine holds, for tests."""
        memory = self.model.memory
        document = {
            'pinned': memory.pinned,
            'holds': len(memory.holds),
            'works': self.model.work_count,
            'prefilled': self.model.prefilled_tokens,
            'generated': self.model.generated_tokens,
            'started': self.loader.orders_taken,
            'models': self.loader.models,
        }
        exchange.reply(HTTPStatus.OK, document)

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)

    def _import(self, exchange, order, fault):
        imports = list(order.get('imports', ()))
        self._import_next(exchange, order, fault, imports)

    def _import_next(self, exchange, order, fault, imports):
        if not imports:
            self._start(exchange, order, fault)
            return
        segment = imports.pop(0)
        host, port = segment['address']
        path = f'/v1/kv?group={segment["group"]}&index={segment["index"]}'

        def take(status, _body):
            if status == HTTPStatus.OK:
                order['carry'] = segment['carry']
                self._import_next(exchange, order, fault, imports)
            else:
                _refuse(exchange, 'import_failed', _BUSY_RETRY_MS)

        def fail(_exc):
            _refuse(exchange, 'import_failed', _BUSY_RETRY_MS)

        address = (host, port)
        payload = build_request('GET', address, path)
        self._client.send(address, payload, WholeResponse(take, fail))

    def _start(self, exchange, order, fault):
        if not exchange.is_open:
            return
        prompt = order['prompt'].encode()
        tokens = self.model.count_tokens(prompt)
        need = 0 if order.get('group') else tokens + order['max_tokens']
        if not self.model.accepts(need):
            _refuse(exchange, 'no_memory', _BUSY_RETRY_MS)
            return
        generation = Generation(self, exchange, order, fault)
        whole = not order.get('group')
        work = Work(
            generation.key,
            priority=order['priority'],
            left=tokens,
            need=need,
            crc=zlib.crc32(prompt, _read_carry(order)),
            blocks=hash_blocks(prompt, order['model'].encode())
            if whole
            else (),
            max_tokens=order['max_tokens'],
            offset=order['offset'],
            deadline_ms=self._timers.clock.now_ms() + order['deadline_ms'],
            on_token=generation.on_token,
            on_done=generation.on_done,
        )
        exchange.on_gone = generation.on_gone
        exchange.start_stream(EVENT_STREAM)
        self.model.submit(work)

    def _take_snapshot(self):
        model = self.model
        snapshot = {
            'queued_tokens': model.queued_tokens,
            'queued_by_priority': list(model.queued_by_priority.items()),
            'running': model.running,
            'memory_free': model.memory.free_tokens,
            'memory_total': model.memory.total,
            'prefill_rate': model.settings.prefill_rate,
        }
        self._snapshots = [*self._snapshots[-1:], snapshot]


def _read_carry(order):
    if order.get('carry'):
        return int(order['carry'])
    return seed_answer(order['model'])


def _refuse(exchange, code, retry_after_ms):
    body = orjson.dumps({'code': code, 'retry_after_ms': retry_after_ms})
    exchange.reply(HTTPStatus.CONFLICT, body)
