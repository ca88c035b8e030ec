"""A caller's request, decoded and checked, as a job for the core."""

from http import HTTPStatus

from crankchute.core.forward_job import ForwardJob, PromptSize
from crankchute.core.hashing import make_fingerprint
from crankchute.errors import RequestRefused
from crankchute.platform.wire import (
    AUTHORIZATION,
    DEADLINE_MS,
    HOST,
    LAST_EVENT,
    OWN_HEADERS,
    REQUEST_ID,
    TOKEN_USAGE,
    drop_connection_headers,
)

_BEARER = 'bearer '
_LARGEST_ID = 200
#: When a proof of the configuration is looked for anew, in milliseconds.  With
#: hints as long as the outage had lasted the callers of its last three seconds
#: came back at once with new ones: 156 of 260 first events were late (worth of a
#: day with an outage of 8 s 0.82 to 0.75, means of three plays).
_PROOF_MS = 1000
#: What a caller without a deadline is taken to wait, in milliseconds.
_LONGEST_WAIT_MS = 10_000


class RequestPayload:
    """What is sent to a backend server, and never looked at by the core.

    Attributes:
      method: The method.
      target: Path and query as the caller sent them.
      headers: The caller's headers that are passed on, pairs of strings.
      body: Bytes.
    """

    __slots__ = ('body', 'headers', 'method', 'target')

    def __init__(self, method, target, headers, body):
        """Create the payload.

        Args:
          method: A string.
          target: A string.
          headers: Pairs of name and text.
          body: Bytes.
        """
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class RequestReader:
    """Checks requests against the configuration in force.

    Attributes:
      admission: The KeyAdmission in force.
    """

    def __init__(self, holder, clock, admission, hints):
        """Create a reader.

        Args:
          holder: A ForwardConfigHolder.
          clock: A Clock.
          admission: A KeyAdmission.
          hints: RetryHints.
        """
        self._holder = holder
        self._clock = clock
        self._hints = hints
        self.admission = admission

    def read(self, exchange):
        """Return the job of a request.

        Args:
          exchange: A ForwardExchange.
        Returns:
          A ForwardJob.
        Raises:
          RequestRefused: If it is refused; it has not run.
        """
        config = self._holder.config
        if config is None:
            raise self._refuse_for_now('no_config', exchange)
        request_id = exchange.header(REQUEST_ID)
        if not request_id or len(request_id) > _LARGEST_ID:
            raise _bad_request('the request id is missing or too long')
        route = self._find_route(config, exchange)
        owner = self._check_key(config, route, exchange)
        pool = route.choose_pool(request_id)
        if pool is None:
            raise self._refuse_for_now('no_pool', exchange)
        return self._make_job(exchange, request_id, route, owner, pool)

    def _find_route(self, config, exchange):
        path = exchange.target.partition('?')[0]
        route = config.routes.find(exchange.header(HOST) or '', path)
        if route is None:
            raise RequestRefused(
                HTTPStatus.NOT_FOUND,
                'no_route',
                'there is no route for this host and path',
            )
        return route

    def _check_key(self, config, route, exchange):
        """Return the KeyOwner of a request, or None if it needs none."""
        if config.keys is None:
            return None
        owner = config.keys.get(_read_key(exchange))
        if route.is_open:
            return owner
        age_ms = self._holder.proof_age_ms(self._clock.now_ms())
        if not self.admission.allows(age_ms):
            raise self._refuse_for_now(
                'config_not_proved',
                exchange,
                _PROOF_MS,
            )
        if owner is None:
            raise RequestRefused(
                HTTPStatus.UNAUTHORIZED,
                'unknown_key',
                'the key is not known',
            )
        return owner

    def _refuse_for_now(self, code, exchange, recovery_ms=None):
        remaining_ms = min(_read_deadline_ms(exchange), _LONGEST_WAIT_MS)
        return RequestRefused(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            'this cannot be served now',
            retry_after_ms=self._hints.choose_ms(remaining_ms, recovery_ms),
        )

    def _make_job(self, exchange, request_id, route, owner, pool):
        allowed_ms = min(_read_deadline_ms(exchange), route.timeout_ms)
        priority = route.priority
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        account = None if owner is None else owner.account
        return ForwardJob(
            request_id=request_id,
            fingerprint=_make_fingerprint(exchange, account),
            pool=pool,
            repeat=route.repeat,
            is_stream=route.is_stream,
            is_keyed=owner is not None,
            account=account,
            size=_read_size(exchange) or self._guess_size(pool),
            priority=priority,
            arrived_ms=exchange.arrived_ms,
            deadline_ms=exchange.arrived_ms + allowed_ms,
            goal_ms=route.goal_ms,
            gap_ms=route.gap_ms,
            max_attempts=route.max_attempts,
            resume_after=_read_last_event(exchange),
            payload=_read_payload(exchange),
        )

    def _guess_size(self, pool):
        """Return the usual PromptSize of a pool, or None for plain services.

        A prompt of which no size is told can be placed by nothing else.
        """
        found = self._holder.config.pools.get(pool)
        if found is None or found.engine_figures is None:
            return None
        usual = found.engine_figures
        return PromptSize(usual.usual_prompt, usual.usual_answer)


def _read_key(exchange):
    text = exchange.header(AUTHORIZATION) or ''
    if text[: len(_BEARER)].lower() != _BEARER:
        return None
    return text[len(_BEARER) :].strip()


def _read_deadline_ms(exchange):
    text = exchange.header(DEADLINE_MS)
    if text is None:
        return float('inf')
    try:
        return float(text)
    except ValueError as exc:
        raise _bad_request('the deadline is no number') from exc


def _read_last_event(exchange):
    text = exchange.header(LAST_EVENT)
    return int(text) if text and text.isdecimal() else None


def _read_size(exchange):
    """Return the PromptSize that a request names, or None."""
    text = exchange.header(TOKEN_USAGE)
    if text is None:
        return None
    prompt, _comma, answer = text.partition(',')
    if not (prompt.strip().isdecimal() and answer.strip().isdecimal()):
        raise _bad_request('the token usage is no pair of numbers')
    return PromptSize(int(prompt), int(answer))


def _read_payload(exchange):
    headers = [
        (name, text)
        for name, text in drop_connection_headers(exchange.headers)
        if name.lower() not in OWN_HEADERS
    ]
    return RequestPayload(
        exchange.method,
        exchange.target,
        headers,
        exchange.body,
    )


def _make_fingerprint(exchange, account):
    """Return what all submissions of a request have in common.

    Headers differ from one submission to the next: ids, deadlines, events.
    """
    target = f'{exchange.method} {exchange.header(HOST)} {exchange.target}'
    return make_fingerprint(
        (account or '').encode(),
        target.encode(),
        exchange.body,
    )


def _bad_request(text):
    return RequestRefused(HTTPStatus.BAD_REQUEST, 'bad_request', text)
