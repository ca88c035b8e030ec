"""HTTP server of the engine stand-in."""

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
from crankchute.standins.engine_model import EngineModel, Work, initial_checksum
from crankchute.standins.faults import Fault, FaultMode

_SNAPSHOT_MS = 200
_EXPIRY_SWEEP_MS = 250
_BUSY_RETRY_MS = 100
_OTHER_REQUEST_ID = 'somebody-else'
routes = Routes()


class Generation:
    """A streamed answer, with an optional injected fault."""

    __slots__ = ('_engine', '_exchange', '_fault', '_header', '_buffer', 'key')

    def __init__(self, engine, exchange, order, fault):
        """Create the stream for a request.

        Args:
          engine: The EngineServer.
          exchange: The Exchange.
          order: The document of the request.
          fault: The FaultMode to inject into this answer.
        """
        self._engine = engine
        self._exchange = exchange
        self._fault = fault
        self._buffer = []
        self._header = {
            'id': order['request_id'],
            'attempt': order['attempt'],
            'boot': engine.boot,
        }
        self.key = (order['request_id'], order['attempt'], secrets.token_hex(4))

    def on_token(self, offset, token):
        """Send a token, subject to the injected fault."""
        if self._fault == FaultMode.FREEZE:
            return
        if self._fault == FaultMode.TRUNCATE and offset == 2:
            self._engine.model.cancel(self.key)
            self._exchange.finish()
            return
        if self._fault == FaultMode.CROSS and offset % 3 == 1:
            crossed = dict(self._header, id=_OTHER_REQUEST_ID)
            self._send(crossed, offset, ['crossed '])
        if self._fault == FaultMode.DROP and offset == 2:
            return
        self._buffer.append(token)
        if len(self._buffer) < self._engine.tokens_per_event:
            return
        self._flush(offset + 1)

    def on_done(self, work):
        """Send the end mark, or abort the stream if the request expired."""
        if self._fault == FaultMode.FREEZE:
            return
        if work is None:
            self._exchange.abort()
            return
        self._flush(work.offset)
        end = dict(self._header, offset=work.offset, count=work.max_tokens)
        self._exchange.send(write_event(end) + DONE)
        self._exchange.finish()

    def on_gone(self):
        """Cancel the request after a disconnect of the client."""
        self._engine.model.cancel(self.key)

    def _flush(self, next_offset):
        tokens = self._buffer
        if not tokens:
            return
        self._buffer = []
        first = next_offset - len(tokens)
        self._send(self._header, first, tokens)
        if self._fault == FaultMode.DUPLICATE:
            self._send(self._header, first, tokens)

    def _send(self, header, offset, tokens):
        event = dict(header, offset=offset, tokens=tokens)
        self._exchange.send(write_event(event))


class EngineServer:
    """The engine stand-in as an HTTP server.

    Attributes:
      boot: The random id of this incarnation.
      tokens_per_event: The number of tokens in each event of a stream.
      model: The EngineModel.
      loader: The ModelLoader.
    """

    def __init__(self, loop, bind, settings, **options):
        """Start to listen.

        Args:
          loop: The Loop.
          bind: A pair of IP address and port.
          settings: EngineSettings.
          options: `models` (a map from name to version, loaded at the start),
            `checks_fences` (a bool), `weights` (the address of the weight
            store or None), `tokens_per_event` (an int).
        """
        self._timers = loop.timers
        self._fault = Fault()
        self._draining = False
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
        loop.timers.every(_EXPIRY_SWEEP_MS, self.model.memory.release_expired)
        loop.timers.every(_SNAPSHOT_MS, self._take_snapshot)
        self._take_snapshot()

    @routes.add('POST', '/v1/generate')
    def generate(self, exchange):
        """Stream the answer to a prompt."""
        order = read_json(exchange)
        fault = self._fault.next_mode()
        if fault == FaultMode.REFUSE or self._draining:
            _refuse(exchange, 'leaving', None)
            return
        if order['model'] not in self.loader.models:
            _refuse(exchange, 'no_model', _BUSY_RETRY_MS)
            return
        if fault == FaultMode.DELAY:
            delay_ms = self._fault.delay_ms
            self._timers.after(
                delay_ms,
                lambda: self._start_after_imports(exchange, order, fault),
            )
            return
        self._start_after_imports(exchange, order, fault)

    @routes.add('POST', '/v1/holds')
    def reserve(self, exchange):
        """Reserve memory for a group."""
        order = read_json(exchange)
        expiry_ms = self._timers.clock.now_ms() + order['deadline_ms']
        memory = self.model.memory
        if self._draining or not memory.hold(
            order['group'],
            order['tokens'],
            expiry_ms,
        ):
            _refuse(exchange, 'no_memory', _BUSY_RETRY_MS)
            return
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/v1/holds/release')
    def release_hold(self, exchange):
        """Free the hold of a group."""
        self.model.memory.release(read_json(exchange)['group'])
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/v1/segments')
    def prefill_segment(self, exchange):
        """Prefill a segment of a group and keep the result for export."""
        order = read_json(exchange)
        hold = self.model.memory.holds.get(order['group'])
        if hold is None:
            _refuse(exchange, 'no_hold', None)
            return
        prompt = order['prompt'].encode()
        crc = zlib.crc32(prompt, _read_checksum(order))

        def on_done(work):
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
            on_done=on_done,
        )
        exchange.on_gone = lambda: self.model.cancel(key)
        self.model.submit(work)

    @routes.add('GET', '/v1/kv')
    def export_segment(self, exchange):
        """Return the result of a segment, for import by another engine."""
        query = read_query(exchange)
        hold = self.model.memory.holds.get(query['group'])
        carry = hold and hold.carries.get(int(query['index']))
        if not carry:
            _refuse(exchange, 'no_segment', None)
            return
        exchange.reply(HTTPStatus.OK, {'carry': carry})

    @routes.add('GET', '/v1/load')
    def report_load(self, exchange):
        """Report the load and the cache events.

        Both lag behind, as those of real engines do; the fault mode `gap`
        drops an event.
        """
        after_sequence = int(read_query(exchange).get('since', '0'))
        snapshot = self._snapshots[0]
        now_ms = self._timers.clock.now_ms()
        events = [
            [event.sequence, event.stored, event.evicted]
            for event in self.model.memory.events
            if event.sequence > after_sequence
            and event.at_ms < now_ms - _SNAPSHOT_MS
        ]
        if self._fault.mode == FaultMode.GAP:
            events = events[1:]
        document = dict(
            snapshot,
            boot=self.boot,
            leaving=self._draining,
            models=self.loader.models,
            adapters=self.loader.adapters,
            role=self.loader.role,
            checks_fences=self.loader.checks_fences,
            events=events,
        )
        exchange.reply(HTTPStatus.OK, document)

    @routes.add('POST', '/v1/orders')
    def apply_order(self, exchange):
        """Apply a fenced order about the models to load."""
        if self.loader.apply_order(read_json(exchange)):
            exchange.reply(HTTPStatus.OK, {'models': self.loader.models})
        else:
            _refuse(exchange, 'stale_fence', None)

    @routes.add('POST', '/admin/fault')
    def configure_fault(self, exchange):
        """Set the fault to inject."""
        self._fault.configure(read_json(exchange))
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('POST', '/admin/leave')
    def start_draining(self, exchange):
        """Refuse new requests from now on."""
        self._draining = True
        exchange.reply(HTTPStatus.OK, {})

    @routes.add('GET', '/admin/state')
    def report_state(self, exchange):
        """Report the internal state, for tests."""
        memory = self.model.memory
        document = {
            'pinned': memory.pinned,
            'holds': len(memory.holds),
            'works': self.model.request_count,
            'prefilled': self.model.prefilled_tokens,
            'generated': self.model.generated_tokens,
            'started': self.loader.applied_orders,
            'models': self.loader.models,
        }
        exchange.reply(HTTPStatus.OK, document)

    def _on_request(self, exchange):
        routes.dispatch(self, exchange)

    def _start_after_imports(self, exchange, order, fault):
        imports = list(order.get('imports', ()))
        self._import_next_segment(exchange, order, fault, imports)

    def _import_next_segment(self, exchange, order, fault, imports):
        if not imports:
            self._start(exchange, order, fault)
            return
        segment = imports.pop(0)
        host, port = segment['address']
        path = f'/v1/kv?group={segment["group"]}&index={segment["index"]}'

        def on_response(status, _body):
            if status == HTTPStatus.OK:
                order['carry'] = segment['carry']
                self._import_next_segment(exchange, order, fault, imports)
            else:
                _refuse(exchange, 'import_failed', _BUSY_RETRY_MS)

        def on_failure(_exc):
            _refuse(exchange, 'import_failed', _BUSY_RETRY_MS)

        address = (host, port)
        payload = build_request('GET', address, path)
        self._client.send(
            address, payload, WholeResponse(on_response, on_failure)
        )

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
        is_whole_prompt = not order.get('group')
        work = Work(
            generation.key,
            priority=order['priority'],
            left=tokens,
            need=need,
            crc=zlib.crc32(prompt, _read_checksum(order)),
            blocks=hash_blocks(prompt, order['model'].encode())
            if is_whole_prompt
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


def _read_checksum(order):
    if order.get('carry'):
        return int(order['carry'])
    return initial_checksum(order['model'])


def _refuse(exchange, code, retry_after_ms):
    body = orjson.dumps({'code': code, 'retry_after_ms': retry_after_ms})
    exchange.reply(HTTPStatus.CONFLICT, body)
