"""Relaying of requests to instances that reach the backend servers."""

import enum
from http import HTTPStatus

from crankchute.core.call_for_each import call_for_each_flow
from crankchute.core.forward_job import RelayPlacement, RetryMode
from crankchute.core.outcomes import Outcome, refuse_not_run
from crankchute.core.shutdown_admission import STOPPING

#: Refusal code: no known instance reaches the backend servers.
NO_PATH = 'no_path'
#: Why a proxy sends a request elsewhere: it serves too many for others.
RELAYS_BUSY = 'relays_busy'
#: The most requests that an instance serves for others at once.  With more, it
#: would delay its own callers, and the others should ask another instance.
_MAX_IN_PROGRESS = 64
#: Limits on the silence of another instance, as multiples of the request's
#: goals and as shortest times.
_RELAY_TIMEOUT_FACTOR = 4
_MIN_RELAY_FIRST_MS = 3000
_MIN_RELAY_GAP_MS = 2000
#: The statuses of refusals that depend on the request alone.
_CONTENT_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
    )
)


class RelayOutcome(enum.Enum):
    """What became of a relayed request that no server has answered."""

    #: No server got it, but another instance may reach one.
    ELSEWHERE = 'elsewhere'
    #: No server got it, and other instances would refuse it as well.
    REFUSED = 'refused'
    #: A server rejected it without running it.
    REJECTED = 'rejected'
    #: It may have run.
    FAILED = 'failed'


def accepts_relay(flows):
    """Return whether an instance may serve one more request for others.

    Args:
      flows: The ForwardFlows in progress there.
    """
    relayed = sum(flow.job.relay is not None for flow in flows)
    return relayed < _MAX_IN_PROGRESS


def classify_refusal(refusal, *, was_sent):
    """Return the RelayOutcome that a proxy reports to the other instance.

    Args:
      refusal: The Refusal with which the request ended at the proxy.
      was_sent: Whether it was sent to a server.
    """
    if refusal.outcome != Outcome.NOT_RUN:
        return RelayOutcome.FAILED
    is_elsewhere = refusal.code == STOPPING and not was_sent
    if is_elsewhere or refusal.code == NO_PATH:
        return RelayOutcome.ELSEWHERE
    return RelayOutcome.REJECTED if was_sent else RelayOutcome.REFUSED


def classify_rejection(refusal):
    """Return the RelayOutcome of a request that did not become a job.

    Args:
      refusal: A RequestRefused.
    """
    if refusal.status in _CONTENT_STATUSES:
        return RelayOutcome.REFUSED
    return RelayOutcome.ELSEWHERE


def choose_relay(paths, job, avoided):
    """Choose another instance that reaches the servers of a request's pool.

    Args:
      paths: The ServerPaths.
      job: A ForwardJob.
      avoided: Ids of excluded servers and instances.
    Returns:
      A RelayPlacement, or a Refusal.
    """
    proxy = None
    if job.relay is None:
        proxy = paths.choose_proxy(job.pool, avoided)
    if proxy is None:
        return refuse_not_run(
            NO_PATH, 'this instance does not reach the backend servers'
        )
    return RelayPlacement(proxy)


def end_unanswered(flows, pool):
    """End late attempts at a pool whose paths are lost, to relay the requests.

    Requests that may not be repeated wait for their answers, and so do those
    whose answers have begun: open connections may still work.

    Args:
      flows: An iterable of ForwardFlow.
      pool: The pool's name.
    """

    def end(flow):
        attempt = flow.attempt
        if flow.job.pool == pool and _is_unanswered(flow, attempt):
            text = 'the path to the backend server is lost'
            attempt.end_lost(attempt.backend, text)

    call_for_each_flow(end, flows)


def _is_unanswered(flow, attempt):
    if attempt is None or attempt.started or attempt.placement.is_relayed:
        return False
    may_retry = flow.job.may_retry and flow.attempts < flow.job.max_attempts
    return may_retry and attempt.watchdog.is_late


def relay_stalled_at_ms(job, attempt):
    """Return when a silent relayed attempt counts as stalled, or None.

    The instance that sends the request to a server notices first if the server
    stalls, so the limits are longer than its own.

    Args:
      job: A ForwardJob.
      attempt: The Attempt.
    """
    if job.repeat == RetryMode.ONCE:
        return None
    if attempt.started:
        gap_ms = (job.gap_ms or 0) * _RELAY_TIMEOUT_FACTOR
        return attempt.last_event_ms + max(gap_ms, _MIN_RELAY_GAP_MS)
    first_ms = job.goal_ms * _RELAY_TIMEOUT_FACTOR
    return attempt.last_event_ms + first_ms + _MIN_RELAY_FIRST_MS
