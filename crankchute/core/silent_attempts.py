"""What becomes of attempts whose servers fell silent.

Silence does not show whether a server has failed or will go on in a moment.
Another attempt helps only if it can be made, and if its server can be expected
to answer: that server was heard from a moment ago, or is idle.
"""

import enum
from functools import partial

from crankchute.core.forward_job import Placement
from crankchute.core.outcomes import Refusal
from crankchute.core.relay import choose_relay

#: A server that was heard from this recently is not silent.  It is shorter than
#: any limit on silence, since servers that fall silent together were all heard
#: from shortly before.
_RECENT_MS = 250


class Verdict(enum.Enum):
    """What becomes of an attempt whose server is silent, and why."""

    #: The request is sent to another server.
    REPLACED = 'replaced'
    #: It was sent as often as it may be.
    ATTEMPTS_USED = 'attempts_used'
    #: Servers crashed while they ran it.
    SUSPECT = 'crashes_servers'
    #: The retry budget is used up.
    NO_BUDGET = 'no_budget'
    #: No other server can be expected to answer.
    NO_SERVER = 'no_server'


class Alternatives:
    """What could take the place of a silent attempt.

    Attributes:
      verdict: The Verdict.
      responsive: The ids of other servers that accept the request and can be
        expected to answer, a list.
      silent: The ids of those that cannot be expected to, a list.
    """

    __slots__ = ('responsive', 'silent', 'verdict')

    def __init__(self, verdict, responsive=(), silent=()):
        """Create the record; see the class for the arguments."""
        self.verdict = verdict
        self.responsive = responsive
        self.silent = silent


def list_responsive(backends, now_ms):
    """Return the servers that can be expected to answer a request.

    Idle servers are tried only if none was heard from.

    Args:
      backends: Backends.
      now_ms: The time.
    Returns:
      A list of Backend.
    """
    heard = [one for one in backends if _was_heard(one, now_ms)]
    return heard or [one for one in backends if not one.in_flight]


def _was_heard(backend, now_ms):
    heard_ms = backend.breaker.heard_ms
    return heard_ms is not None and now_ms - heard_ms <= _RECENT_MS


def _is_waiting(flow, attempt):
    """Return whether the answer of an attempt is still read, and has time."""
    if attempt.is_closed or attempt.is_paused:
        return False
    return flow.job.remaining_ms(flow.now_ms()) > 0


class SilentAttempts:
    """Judges the silent attempts of one Forwarder."""

    __slots__ = ('_forwarder',)

    def __init__(self, forwarder):
        """Create the judge.

        Args:
          forwarder: The Forwarder.
        """
        self._forwarder = forwarder

    def judge(self, flow, attempt):
        """Replace a silent attempt if that can be expected to help.

        Otherwise it goes on, until its deadline at the latest, and is judged
        again later.  Nothing is decided before it is known whether the path to
        the server is lost.

        Args:
          flow: A ForwardFlow.
          attempt: Its Attempt.
        """
        if attempt.watchdog.verdict is None:
            self._forwarder.record_late(flow, attempt)
        self._forwarder.paths.after_check(
            flow.job,
            partial(self._decide, flow, attempt, attempt.last_event_ms),
        )

    def _decide(self, flow, attempt, since_ms):
        if attempt.last_event_ms > since_ms or not _is_waiting(flow, attempt):
            return
        alternatives = self._find_alternatives(flow, attempt)
        choice = self._choose(flow, attempt, alternatives)
        self._record(flow, attempt, alternatives)
        if choice is not None:
            flow.replace_attempt(attempt, choice)

    def _record(self, flow, attempt, alternatives):
        """Log and count a verdict, unless it is the same as before."""
        verdict = alternatives.verdict
        previous = attempt.watchdog.verdict
        if verdict == previous:
            return
        attempt.watchdog.verdict = verdict
        self._forwarder.metrics.count('silent_attempts', verdict.value)
        self._forwarder.journal.log_silent(flow, attempt, alternatives)
        if previous is None and verdict != Verdict.REPLACED:
            attempt.backend.record_silent(
                self._forwarder.now_ms(), attempt.sent_ms
            )

    def _choose(self, flow, attempt, alternatives):
        """Return the Placement of the next attempt, or None.

        Its retry is taken from the budget.  The verdict is corrected if there
        is none.
        """
        if not alternatives.responsive:
            return None
        excluded = {
            attempt.placement.answering,
            *flow.avoided,
            *alternatives.silent,
        }
        choice = self._forwarder.choose(flow, excluded)
        if isinstance(choice, Refusal):
            alternatives.verdict = Verdict.NO_SERVER
            return None
        if self._forwarder.take_retry(flow.job):
            return choice
        # The budget has changed since it was asked.
        self._forwarder.record_freed(flow, choice)
        alternatives.verdict = Verdict.NO_BUDGET
        return None

    def _find_alternatives(self, flow, attempt):
        obstacle = self._find_obstacle(flow)
        if obstacle is not None:
            return Alternatives(obstacle)
        usable = self._list_usable(
            flow, flow.avoided | {attempt.placement.answering}
        )
        responsive = list_responsive(usable, self._forwarder.now_ms())
        return Alternatives(
            Verdict.REPLACED if responsive else Verdict.NO_SERVER,
            responsive=[one.identity for one in responsive],
            silent=[one.identity for one in usable if one not in responsive],
        )

    def _find_obstacle(self, flow):
        """Return the Verdict that rules out any other attempt, or None."""
        job = flow.job
        if flow.attempts >= job.max_attempts:
            return Verdict.ATTEMPTS_USED
        if not self._forwarder.crash_detector.may_retry(job.fingerprint):
            return Verdict.SUSPECT
        budget = self._forwarder.budgets.of(job)
        if not budget.has_retry(self._forwarder.now_ms()):
            return Verdict.NO_BUDGET
        return None

    def _list_usable(self, flow, avoided):
        """Return the Backends that may get the request, if others than avoided.

        If the paths to the servers are lost, it is the next proxy.
        """
        job = flow.job
        if self._forwarder.paths.is_lost(job.pool):
            relay = choose_relay(self._forwarder.paths, job, avoided)
            return [relay.backend] if isinstance(relay, Placement) else []
        chooser = self._forwarder.find_chooser(job.pool)
        return [] if chooser is None else chooser.usable(avoided)
