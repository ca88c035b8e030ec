"""Parses and validates callers' requests into jobs for the core."""

from http import HTTPStatus

from crankchute.core.forward_job import (
    ForwardJob,
    PromptSize,
    make_urgency_rank,
)
from crankchute.core.hashing import make_fingerprint
from crankchute.errors import RequestRefused
from crankchute.platform.prompt_parts import fingerprint_shared_parts
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

_BEARER_PREFIX = 'bearer '
_MAX_REQUEST_ID_LENGTH = 200
#: Expected time until the configuration is known to be current again, for
#: Retry-After.  It does not grow with the length of an outage: longer delays
#: make many callers return at the same time as new ones.
_CONFIG_PROOF_RETRY_MS = 1000
#: The longest time that a caller is assumed to wait, also without a deadline.
_MAX_CALLER_WAIT_MS = 10_000


class RequestPayload:
    """The request that is forwarded to a backend server; opaque to the core.

    Attributes:
      method: The HTTP method.
      target: The path and query as received.
      headers: The headers to forward, pairs of strings.
      body: Bytes.
      authorization: The Authorization header, or None.
    """

    __slots__ = ('authorization', 'body', 'headers', 'method', 'target')

    def __init__(self, method, target, headers, body, authorization=None):
        """Create the payload.

        Args:
          method: A string.
          target: A string.
          headers: Pairs of name and text.
          body: Bytes.
          authorization: A string or None.
        """
        self.authorization = authorization
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body


class RequestReader:
    """Validates requests against the current configuration.

    Attributes:
      admission: The current KeyAdmission.
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
        """Parse a request into a job.

        Args:
          exchange: A ForwardExchange.
        Returns:
          A ForwardJob.
        Raises:
          RequestRefused: If the request is refused; it has not been sent.
        """
        config = self._holder.config
        if config is None:
            raise self._refuse_unavailable('no_config', exchange)
        request_id = exchange.header(REQUEST_ID)
        if not request_id or len(request_id) > _MAX_REQUEST_ID_LENGTH:
            raise _bad_request('the request id is missing or too long')
        route = self._find_route(config, exchange)
        owner = self._authenticate(config, route, exchange)
        pool = route.choose_pool(request_id)
        if pool is None:
            raise self._refuse_unavailable('no_pool', exchange)
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

    def _authenticate(self, config, route, exchange):
        """Return the KeyOwner of a request, or None if no key is required."""
        if config.keys is None:
            return None
        owner = config.keys.get(_parse_bearer_key(exchange))
        if route.is_open:
            return owner
        age_ms = self._holder.proof_age_ms(self._clock.now_ms())
        if not self.admission.allows(age_ms):
            raise self._refuse_unavailable(
                'config_not_proved',
                exchange,
                _CONFIG_PROOF_RETRY_MS,
            )
        if owner is None:
            raise RequestRefused(
                HTTPStatus.UNAUTHORIZED,
                'unknown_key',
                'the key is not known',
            )
        return owner

    def _refuse_unavailable(self, code, exchange, recovery_ms=None):
        remaining_ms = min(_parse_deadline_ms(exchange), _MAX_CALLER_WAIT_MS)
        return RequestRefused(
            HTTPStatus.SERVICE_UNAVAILABLE,
            code,
            'this cannot be served now',
            retry_after_ms=self._hints.choose_ms(remaining_ms, recovery_ms),
        )

    def _make_job(self, exchange, request_id, route, owner, pool):
        allowed_ms = min(_parse_deadline_ms(exchange), route.timeout_ms)
        priority = route.priority
        if owner is not None and owner.priority is not None:
            priority = owner.priority
        account = None if owner is None else owner.account
        return ForwardJob(
            request_id=request_id,
            fingerprint=_compute_fingerprint(exchange, account),
            part_fingerprints=fingerprint_shared_parts(exchange, pool),
            pool=pool,
            repeat=route.repeat,
            is_stream=route.is_stream,
            is_keyed=owner is not None,
            account=account,
            size=_parse_token_usage(exchange) or self._default_size(pool),
            priority=priority,
            arrived_ms=exchange.arrived_ms,
            deadline_ms=exchange.arrived_ms + allowed_ms,
            goal_ms=route.goal_ms,
            gap_ms=route.gap_ms,
            max_attempts=route.max_attempts,
            resume_after=_parse_last_event_id(exchange),
            payload=_build_payload(exchange),
            timeout_ms=route.timeout_ms,
            urgency_rank=make_urgency_rank(priority, route.priority),
        )

    def _default_size(self, pool):
        """Return the usual PromptSize of a pool, or None for plain services.

        Engines are chosen by prompt size, also for requests without one.
        """
        pool_config = self._holder.config.pools.get(pool)
        if pool_config is None or pool_config.engine_figures is None:
            return None
        engine_figures = pool_config.engine_figures
        return PromptSize(
            engine_figures.usual_prompt, engine_figures.usual_answer
        )


def _parse_bearer_key(exchange):
    text = exchange.header(AUTHORIZATION) or ''
    if text[: len(_BEARER_PREFIX)].lower() != _BEARER_PREFIX:
        return None
    return text[len(_BEARER_PREFIX) :].strip()


def _parse_deadline_ms(exchange):
    text = exchange.header(DEADLINE_MS)
    if text is None:
        return float('inf')
    try:
        return float(text)
    except ValueError as exc:
        raise _bad_request('the deadline is no number') from exc


def _parse_last_event_id(exchange):
    text = exchange.header(LAST_EVENT)
    return int(text) if text and text.isdecimal() else None


def _parse_token_usage(exchange):
    """Return the PromptSize in a request's headers, or None."""
    text = exchange.header(TOKEN_USAGE)
    if text is None:
        return None
    prompt, _comma, answer = text.partition(',')
    if not (prompt.strip().isdecimal() and answer.strip().isdecimal()):
        raise _bad_request('the token usage is no pair of numbers')
    return PromptSize(int(prompt), int(answer))


def _build_payload(exchange):
    headers = [
        (name, text)
        for name, text in drop_connection_headers(exchange.headers)
        if name.lower() not in OWN_HEADERS
    ]
    return RequestPayload(
        exchange.method,
        exchange.target,
        headers,
        exchange.take_body(),
        exchange.header(AUTHORIZATION),
    )


def _compute_fingerprint(exchange, account):
    """Return a hash that is the same for all submissions of a request.

    Of the headers only Host is included: ids, deadlines and last events differ
    between submissions.
    """
    target = f'{exchange.method} {exchange.header(HOST)} {exchange.target}'
    return make_fingerprint(
        (account or '').encode(),
        target.encode(),
        exchange.body,
    )


def _bad_request(text):
    return RequestRefused(HTTPStatus.BAD_REQUEST, 'bad_request', text)
