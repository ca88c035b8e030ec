"""Calls of plain services: keys, the once-only ledger, and forwarding."""

from crankchute.core.outcomes import Outcome, Refusal
from crankchute.core.request_keys import Claim, KeyLedger, parse_key
from crankchute.core.service_router import ServiceAnswer, ServiceCall
from crankchute.entry.completion_request import bad_request, find_service_pool
from crankchute.errors import BadKeyError
from crankchute.proto import peer_pb2

KEY_HEADER = 'Crankchute-Key'
LONGEST_KEY_MS = 120_000
SERVICES_PATH = '/v1/services/'
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_SWEEP_MS = 1000
_FORWARD_MARGIN_MS = 100
_REFUSAL_BYTES = 256
#: Calls of peers that wait here hold threads which gossip needs too.
_MOST_FORWARDED = 8


class ServiceDesk:
    """Takes service calls from callers and from other instances."""

    def __init__(self, parts, router, peering, binding):
        """Create the desk.

        Args:
          parts: An object with `timers` and `config`.
          router: The ServiceRouter.
          peering: The Peering.
          binding: The Binding of this incarnation.
        """
        self._timers = parts.timers
        self._config = parts.config
        self._router = router
        self._peering = peering
        self._ledger = KeyLedger(binding, LONGEST_KEY_MS)
        self._forwarded = 0
        self._acts = {
            Claim.FIRST: self._run_once,
            Claim.RUNNING: self._join_running,
            Claim.ENDED: self._repeat_end,
            Claim.EXPIRED: _answer_expired,
            Claim.FOREIGN: self._forward,
        }
        self._timers.every(_SWEEP_MS, self._forget)

    @property
    def key_count(self):
        """How many keys are remembered."""
        return len(self._ledger)

    @property
    def in_progress(self):
        """How many calls have not ended."""
        return self._router.in_progress

    def read_call(self, exchange, caller):
        """Read and check a call of a plain service.

        Args:
          exchange: An Exchange.
          caller: A Caller.
        Returns:
          A ServiceCall.
        Raises:
          RequestRefused: If anything in it is wrong.
        """
        rest = exchange.path.removeprefix(SERVICES_PATH)
        pool, _, path = rest.partition('/')
        find_service_pool(self._config.config, caller, pool)
        repeatable = exchange.method in _REPEATABLE_METHODS
        key = exchange.header(KEY_HEADER)
        if not repeatable:
            _check_key(key)
        query = f'?{exchange.query}' if exchange.query else ''
        return ServiceCall(
            method=exchange.method,
            path=f'/{path}{query}',
            body=exchange.body,
            content_type=exchange.header('Content-Type'),
            key=None if repeatable else key,
            repeatable=repeatable,
            pool=pool,
            account=caller.account.name,
            deadline_ms=self._now_ms() + caller.remaining_ms,
        )

    def submit(self, call, on_end):
        """Run a call here, pass it on, or answer what is known of it.

        Args:
          call: A ServiceCall.
          on_end: A function of a ServiceAnswer or a Refusal, called once.
        """
        if call.repeatable:
            self._router.submit(call, on_end)
            return
        key = parse_key(call.key)
        claim = self._ledger.claim(call.account, key, self._now_ms())
        act = self._acts[claim]
        act(call, key, on_end)

    def on_forward(self, request, on_reply):
        """Take a call that a peer passed on, if it is bound here."""
        key = parse_key(request.key)
        pool, _, path = request.path.partition('/')
        call = ServiceCall(
            method=request.method,
            path=f'/{path}',
            body=request.body,
            content_type=request.content_type or None,
            key=request.key,
            repeatable=False,
            pool=pool,
            account=request.account,
            deadline_ms=self._now_ms() + request.remaining_ms,
        )
        if not self._is_mine(key) or self._forwarded >= _MOST_FORWARDED:
            on_reply(write_end(_unreachable(was_dispatched=False)))
            return
        self._forwarded += 1

        def finish(end):
            self._forwarded -= 1
            on_reply(write_end(end))

        self.submit(call, finish)

    def _run_once(self, call, key, on_end):
        def finish(end):
            size = _REFUSAL_BYTES
            if isinstance(end, ServiceAnswer):
                size = len(end.body)
            self._ledger.end(call.account, key, end, size)
            on_end(end)

        self._router.submit(call, finish)

    def _join_running(self, call, key, on_end):
        self._ledger.wait(call.account, key, on_end)

    def _repeat_end(self, call, key, on_end):
        on_end(self._ledger.answer(call.account, key) or _forgotten())

    def _forward(self, call, key, on_end):
        member = self._peering.membership.get(key.binding.instance)
        is_known = member is not None and member.boot == key.binding.boot
        if not is_known or self._is_mine(key):
            on_end(_unreachable(was_dispatched=False))
            return
        remaining_ms = call.deadline_ms - self._now_ms()
        request = peer_pb2.ForwardRequest(
            account=call.account,
            key=call.key,
            method=call.method,
            path=f'{call.pool}{call.path}',
            content_type=call.content_type or '',
            body=call.body,
            remaining_ms=int(remaining_ms - _FORWARD_MARGIN_MS),
        )

        def take(reply):
            if reply is None:
                on_end(_unreachable(was_dispatched=True))
            else:
                on_end(read_end(reply))

        self._peering.call(
            member.peer_address,
            'Forward',
            request,
            take,
            remaining_ms,
        )

    def _is_mine(self, key):
        own = self._peering.membership.own
        binding = key.binding
        return (binding.instance, binding.boot) == (own.identity, own.boot)

    def _forget(self):
        self._ledger.evict_expired(self._now_ms())

    def _now_ms(self):
        return self._timers.clock.now_ms()


def write_end(end):
    """Return the message of a ServiceAnswer or a Refusal."""
    if isinstance(end, ServiceAnswer):
        return peer_pb2.ForwardReply(
            status=end.status,
            content_type=end.content_type,
            body=end.body,
        )
    return peer_pb2.ForwardReply(
        outcome=end.outcome.value,
        code=end.code,
        text=end.text,
        retry_after_ms=int(end.retry_after_ms or 0),
        passed_on=end.was_dispatched,
    )


def read_end(reply):
    """Return the ServiceAnswer or the Refusal of a message.

    A refusal that came through another instance may say that this submission
    was passed on; what it says of running is the bound instance's own word.
    """
    if not reply.outcome:
        return ServiceAnswer(reply.status, reply.content_type, reply.body)
    return Refusal(
        Outcome(reply.outcome),
        reply.code,
        reply.text,
        retry_after_ms=reply.retry_after_ms or None,
        was_dispatched=reply.passed_on,
    )


def _check_key(text):
    if text is None:
        raise bad_request(
            'missing_key',
            f'a call that may not be repeated needs the header {KEY_HEADER}',
        )
    try:
        parse_key(text)
    except BadKeyError as exc:
        raise bad_request('bad_key', str(exc)) from exc


def _answer_expired(_call, _key, on_end):
    refusal = Refusal(
        Outcome.UNKNOWN,
        'key_expired',
        'the key is past its expiry; whether it ever ran is not known',
        was_dispatched=False,
    )
    on_end(refusal)


def _unreachable(*, was_dispatched):
    return Refusal(
        Outcome.UNKNOWN,
        'binding_lost',
        'the instance that the key is bound to cannot be asked',
        was_dispatched=was_dispatched,
    )


def _forgotten():
    return Refusal(
        Outcome.UNKNOWN,
        'answer_not_kept',
        'the call ended, and its answer was too large to keep',
    )
