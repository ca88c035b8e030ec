"""Judges the attempts of clients against what the servers recorded."""

from collections import Counter, defaultdict

from bench.soak.fleet import GRACE_S

_PROMISES = frozenset((408, 421, 429, 503))
_CONTACT_S = 3
_LATE_S = 0.3
_EARLY_STOP_S = 3
#: Checks by the name of the violation; each returns a text or None.
CHECKS = {}  # noqa: WPS407  (filled by the decorator)


def check(name):
    """Register a check, a function of a Case."""

    def register(function):
        CHECKS[name] = function
        return function

    return register


class Case:
    """An attempt and all that is known of it.

    Attributes:
      attempt: The Attempt.
      runs: The events `run` of its request, in order.
      ends: The events `end` of its request, in order.
    """

    def __init__(self, attempt, events, disturbances, timeout_s):
        """Create the case.

        Args:
          attempt: The Attempt.
          events: The servers' events of its request.
          disturbances: The log of the Plan.
          timeout_s: The shortest timeout of a route.
        """
        self.attempt = attempt
        self.events = events
        self.runs = [event for event in events if event['event'] == 'run']
        self.ends = [event for event in events if event['event'] == 'end']
        self.limit_s = min(attempt.deadline_s, timeout_s)
        self._disturbances = disturbances

    @property
    def took_s(self):
        """How long the client waited, in seconds."""
        return self.attempt.ended - self.attempt.sent

    def is_excused(self):
        """Return whether a missing answer isn't the instance's doing."""
        if self.took_s >= self.limit_s - _LATE_S:
            return True
        if any(end['why'] in {'crash', 'deadline'} for end in self.ends):
            return True
        return self._was_disturbed() or self._was_late_at_stop()

    def _was_disturbed(self):
        """Return whether the instance was killed or frozen meanwhile."""
        attempt = self.attempt
        return any(
            one['event'] in {'kill', 'freeze'}
            and one['instance'] == attempt.instance
            and attempt.sent - _CONTACT_S < one['t'] + one.get('seconds', 0)
            and one['t'] < attempt.ended + 0.5
            for one in self._disturbances
        )

    def _was_late_at_stop(self):
        """Return whether a server was at work on an early request at the end."""
        stop = self.find_stop()
        if stop is None or self.attempt.sent > stop + _EARLY_STOP_S:
            return False
        ended = max((end['t'] for end in self.ends), default=float('inf'))
        return ended >= stop + GRACE_S * 5 / 6

    def find_stop(self):
        """Return when its instance was last stopped before its end, or None."""
        stops = [
            one['t']
            for one in self._disturbances
            if one['event'] == 'term'
            and one['instance'] == self.attempt.instance
            and one['t'] < self.attempt.ended
            and self.attempt.sent < one['t'] + GRACE_S + 1
        ]
        return max(stops, default=None)


@check('LOST')
def _is_lost(case):
    attempt = case.attempt
    if attempt.outcome not in {'closed', 'cut'} or case.is_excused():
        return None
    if not case.runs:
        if attempt.outcome == 'closed' and case.took_s > 1 and attempt.reused:
            return f'closed after {case.took_s:.2f} s, not run'
        return None
    return f'{attempt.outcome} after {case.took_s:.2f} s'


@check('REFUSED')
def _is_refused(case):
    attempt = case.attempt
    if attempt.may_repeat or attempt.status not in _PROMISES or not case.runs:
        return None
    return f'told {attempt.status} after {case.took_s:.2f} s'


@check('TWICE')
def _is_repeated(case):
    if case.attempt.may_repeat or len(case.runs) < 2:
        return None
    return f'{len(case.runs)} runs, client got {case.attempt.status}'


@check('MIXED')
def _is_mixed(case):
    return '; '.join(case.attempt.faults) or None


@check('NO END')
def _is_endless(case):
    if case.attempt.outcome != 'silent' or case._was_disturbed():
        return None
    return f'no answer in {case.took_s:.2f} s'


@check('DENIED')
def _is_denied(case):
    attempt = case.attempt
    if attempt.path.startswith('/extra') or attempt.status is None:
        return None
    if 300 <= attempt.status < 500 and attempt.status not in _PROMISES:
        return f'told {attempt.status}'
    return None


def judge(attempts, events, plan):
    """Judge a run.

    Args:
      attempts: All Attempts.
      events: The servers' events.
      plan: The Plan that disturbed the run.
    Returns:
      A tuple: texts of violations, and a Counter of outcomes.
    """
    by_request = defaultdict(list)
    for event in events:
        by_request[event.get('id')].append(event)
    timeout_s = plan.config.shortest_timeout_ms / 1000
    start = plan.log[0]['t'] if plan.log else 0
    violations = []
    outcomes = Counter()
    for attempt in attempts:
        case = Case(
            attempt, by_request[attempt.request_id], plan.log, timeout_s
        )
        outcomes[str(attempt.status or attempt.outcome)] += 1
        for name, find in CHECKS.items():
            what = find(case)
            if what is not None:
                violations.append(_describe(name, what, case, start))
    return violations, outcomes


def _describe(name, what, case, start):
    attempt = case.attempt
    stop = case.find_stop()
    parts = [
        f't={attempt.sent - start:.2f} {name} {attempt.path}',
        f'id={attempt.request_id} instance={attempt.instance}',
        f'request {attempt.reused + 1} of its connection: {what}',
    ]
    if stop is not None:
        parts.append(f'sent {attempt.sent - stop:+.2f} s from SIGTERM')
    parts.extend(
        f'[{event["server"]} {event["event"]} '
        f'{event["t"] - attempt.sent:+.2f} '
        f'{event.get("why") or event.get("status") or ""}]'
        for event in case.events
    )
    return ' '.join(parts)
