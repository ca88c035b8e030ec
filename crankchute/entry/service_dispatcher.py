"""Handling of service calls: request keys, deduplication, forwarding."""

from crankchute.core.outcomes import Outcome, Refusal
from crankchute.core.request_keys import Claim, KeyLedger, parse_key
from crankchute.core.service_router import ServiceAnswer, ServiceCall
from crankchute.entry.completion_request import bad_request, find_service_pool
from crankchute.errors import BadKeyError
from crankchute.proto import peer_pb2

KEY_HEADER = 'Crankchute-Key'
MAX_KEY_LIFETIME_MS = 120_000
SERVICES_PATH = '/v1/services/'
_REPEATABLE_METHODS = frozenset(('GET', 'HEAD', 'OPTIONS'))
_EXPIRY_INTERVAL_MS = 1000
_FORWARD_MARGIN_MS = 100
_REFUSAL_BYTES = 256
#: Each forwarded call occupies one of the gRPC threads that gossip also needs.
_MAX_FORWARDED_CALLS = 8


class ServiceDispatcher:
    """Handles service calls from callers and from other instances."""

    def __init__(self, context, router, peering, binding):
        """Create it and start the timer that removes expired request keys.

        Args:
          context: An object with the attributes `timers` and `config`.
          router: The ServiceRouter.
          peering: The Peering.
          binding: The Binding of this process.
        """
        self._timers = context.timers
        self._config = context.config
        self._router = router
        self._peering = peering
        self._ledger = KeyLedger(binding, MAX_KEY_LIFETIME_MS)
        self._forwarded = 0
        self._actions = {
            Claim.FIRST: self._run_once,
            Claim.RUNNING: self._wait_for_running,
            Claim.ENDED: self._replay_response,
            Claim.EXPIRED: _refuse_expired,
            Claim.FOREIGN: self._forward,
        }
        self._timers.every(_EXPIRY_INTERVAL_MS, self._forget_expired_keys)

    @property
    def key_count(self):
        """The number of request keys in the ledger."""
        return len(self._ledger)

    @property
    def in_progress(self):
        """The number of calls in progress."""
        return self._router.in_progress

    def read_call(self, exchange, caller):
        """Parse and validate a service call.

        Args:
          exchange: An Exchange.
          caller: A Caller.
        Returns:
          A ServiceCall.
        Raises:
          RequestRefused: If the call is invalid.
        """
        target = exchange.path.removeprefix(SERVICES_PATH)
        pool, _, path = target.partition('/')
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
        """Run a call, forward it, or return its recorded response.

        Args:
          call: A ServiceCall.
          on_end: A function of a ServiceAnswer or Refusal, called once.
        """
        if call.repeatable:
            self._router.submit(call, on_end)
            return
        key = parse_key(call.key)
        claim = self._ledger.claim(call.account, key, self._now_ms())
        action = self._actions[claim]
        action(call, key, on_end)

    def on_forward(self, request, on_reply):
        """Handle a call that a peer forwarded, if its key is bound here."""
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
        if (
            not self._is_bound_here(key)
            or self._forwarded >= _MAX_FORWARDED_CALLS
        ):
            on_reply(
                write_response(_make_unreachable_refusal(was_dispatched=False))
            )
            return
        self._forwarded += 1

        def on_response(response):
            self._forwarded -= 1
            on_reply(write_response(response))

        self.submit(call, on_response)

    def _run_once(self, call, key, on_end):
        def on_response(response):
            size = _REFUSAL_BYTES
            if isinstance(response, ServiceAnswer):
                size = len(response.body)
            self._ledger.end(call.account, key, response, size)
            on_end(response)

        self._router.submit(call, on_response)

    def _wait_for_running(self, call, key, on_end):
        self._ledger.wait(call.account, key, on_end)

    def _replay_response(self, call, key, on_end):
        on_end(
            self._ledger.answer(call.account, key) or _make_unrecorded_refusal()
        )

    def _forward(self, call, key, on_end):
        member = self._peering.membership.get(key.binding.instance)
        is_known = member is not None and member.boot == key.binding.boot
        if not is_known or self._is_bound_here(key):
            on_end(_make_unreachable_refusal(was_dispatched=False))
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

        def on_response(reply):
            if reply is None:
                on_end(_make_unreachable_refusal(was_dispatched=True))
            else:
                on_end(read_response(reply))

        self._peering.call(
            member.peer_address,
            'Forward',
            request,
            on_response,
            remaining_ms,
        )

    def _is_bound_here(self, key):
        own = self._peering.membership.own
        binding = key.binding
        return (binding.instance, binding.boot) == (own.identity, own.boot)

    def _forget_expired_keys(self):
        self._ledger.evict_expired(self._now_ms())

    def _now_ms(self):
        return self._timers.clock.now_ms()


def write_response(response):
    """Serialize a ServiceAnswer or Refusal as a ForwardReply."""
    if isinstance(response, ServiceAnswer):
        return peer_pb2.ForwardReply(
            status=response.status,
            content_type=response.content_type,
            body=response.body,
        )
    return peer_pb2.ForwardReply(
        outcome=response.outcome.value,
        code=response.code,
        text=response.text,
        retry_after_ms=int(response.retry_after_ms or 0),
        passed_on=response.was_dispatched,
    )


def read_response(reply):
    """Parse a ForwardReply into a ServiceAnswer or Refusal.

    The outcome and `passed_on` of a refusal are those reported by the instance
    to which the key is bound.
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


def _refuse_expired(_call, _key, on_end):
    refusal = Refusal(
        Outcome.UNKNOWN,
        'key_expired',
        'the key is past its expiry; whether it ever ran is not known',
        was_dispatched=False,
    )
    on_end(refusal)


def _make_unreachable_refusal(*, was_dispatched):
    return Refusal(
        Outcome.UNKNOWN,
        'binding_lost',
        'the instance that the key is bound to cannot be asked',
        was_dispatched=was_dispatched,
    )


def _make_unrecorded_refusal():
    return Refusal(
        Outcome.UNKNOWN,
        'answer_not_kept',
        'the call ended, and its answer was too large to keep',
    )
