"""Judges the attempts of clients against what the servers recorded."""

from collections import defaultdict
from http import HTTPStatus

from bench.soak.config import REPEATS
from bench.soak.fleet import GRACE_S
from crankchute.platform.wire import SERVERS_PREFIX

#: Statuses that promise that a request did not run.
_PROMISES = frozenset((408, 421, 429, 503))
_CONTACT_S = 3
#: How early a client may see the end of a time limit.
_EARLY_S = 0.3
_LATE_S = 0.5
#: Requests sent later in a stop are not excused.
_STOP_EXCUSE_S = 3
_LAST_WORK_S = GRACE_S * 5 / 6
#: How long after the store has taken that a server leaves requests may reach it.
_DRAIN_S = 2
_OUT_OF_TOUCH = frozenset(('term', 'kill', 'freeze', 'start'))
_STORE_EVENTS = frozenset(('cut_store', 'forget', 'restore'))
#: Not run, but held longer than it takes to see that a connection is closed.
_HELD_S = 2
#: Checks by the name of the violation; each returns a text or None.
CHECKS = {}  # noqa: WPS407  (filled by the decorator)


def check(name):
    """Register a check, a function that takes a Case.

    Args:
      name: The name of the violation.
    Returns:
      The decorator.
    """

    def register(function):
        CHECKS[name] = function
        return function

    return register


class Case:
    """An attempt and all that is known of it.

    Attributes:
      attempt: The Attempt.
      events: The servers' events of its request, in order.
      runs: Those that say that a server ran it.
    """

    def __init__(self, attempt, events, disturbances, timeout_s, left_at):
        """Create the case.

        Args:
          attempt: The Attempt.
          events: The servers' events of its request.
          disturbances: The log of the Plan.
          timeout_s: The shortest timeout of a route.
          left_at: A map from the id of a server to when the store took that it
            leaves.
        """
        self._left_at = left_at
        self._store_times = [
            one['t'] for one in disturbances if one['event'] in _STORE_EVENTS
        ]
        self.attempt = attempt
        self.events = events
        self.runs = [event for event in events if event['event'] == 'run']
        self._ends = [event for event in events if event['event'] == 'end']
        self._limit_s = min(attempt.deadline_s, timeout_s)
        self._start = disturbances[0]['t']
        self._disturbances = [
            one
            for one in disturbances
            if one.get('instance') == attempt.instance
        ]

    @property
    def took_s(self):
        """How long the client waited, in seconds."""
        return self.attempt.ended - self.attempt.sent

    @property
    def stopped_at(self):
        """When its instance was told to stop before the end, or None."""
        stops = [
            one['t']
            for one in self._disturbances
            if one['event'] == 'term'
            and self.attempt.sent - GRACE_S - 1 < one['t'] < self.attempt.ended
        ]
        return max(stops, default=None)

    @property
    def is_disturbed(self):
        """Whether its instance was killed or frozen meanwhile or before."""
        attempt = self.attempt
        return any(
            one['event'] in {'kill', 'freeze'}
            and attempt.sent < one['t'] + one.get('seconds', 0) + _CONTACT_S
            and one['t'] < attempt.ended + _LATE_S
            for one in self._disturbances
        )

    @property
    def is_excused(self):
        """Whether the instance may have left it without an answer."""
        if self.took_s >= self._limit_s - _EARLY_S or self.is_disturbed:
            return True
        if any(end['why'] in {'crash', 'deadline'} for end in self._ends):
            return True
        return self._is_cut_by_stop()

    @property
    def late_runs(self):
        """The runs at servers that had left for longer than is allowed."""
        return [run for run in self.runs if self._is_late(run)]

    @property
    def outcome(self):
        """The status or outcome, and whether a 5xx was told although it ran."""
        status = self.attempt.status
        if status == HTTPStatus.BAD_GATEWAY and self.runs:
            return f'{status} and ran'
        return status or self.attempt.outcome

    def __str__(self):
        """Return a line with all that is known."""
        attempt = self.attempt
        parts = [
            f't={attempt.sent - self._start:.2f} id={attempt.request_id}',
            f'instance={attempt.instance} path={attempt.path}',
            f'reused={attempt.reused} {self.outcome} {self.took_s:.2f}',
        ]
        if self.stopped_at is not None:
            parts.append(f'SIGTERM{attempt.sent - self.stopped_at:+.2f}')
        for event in self.events:
            after_s = event['t'] - attempt.sent
            detail = event.get('why') or event.get('status') or ''
            name = f'{event["server"]} {event["event"]} {detail}'
            parts.append(f'[{after_s:+.2f} {name.strip()}]')
        return ' '.join(parts)

    def _is_late(self, run):
        left_at = self._left_at.get(run['server'], float('inf'))
        if run['t'] <= left_at + _DRAIN_S or not self._is_in_touch(run['t']):
            return False
        # The store must have been stable both when it took that the server
        # leaves and when the request arrived there.
        return not any(
            at <= moment < at + _CONTACT_S
            for at in self._store_times
            for moment in (left_at, run['t'])
        )

    def _is_in_touch(self, now):
        """Whether the instance had run undisturbed for a while at a time."""
        return not any(
            one['t'] <= now < one['t'] + one.get('seconds', 0) + _CONTACT_S
            for one in self._disturbances
            if one['event'] in _OUT_OF_TOUCH
        )

    def _is_cut_by_stop(self):
        """Whether a server was at work at the end on an early request."""
        stopped_at = self.stopped_at
        if stopped_at is None:
            return False
        if self.attempt.sent > stopped_at + _STOP_EXCUSE_S:
            return False
        last = max((end['t'] for end in self._ends), default=float('inf'))
        return last >= stopped_at + _LAST_WORK_S


@check('LOST')
def _find_lost(case):
    attempt = case.attempt
    if attempt.outcome not in {'closed', 'cut'} or case.is_excused:
        return None
    if case.runs:
        return attempt.outcome
    is_held = attempt.reused and case.took_s > _HELD_S
    return 'not run' if is_held else None


@check('DRAIN')
def _find_drained(case):
    servers = [run['server'] for run in case.late_runs]
    return f'sent to {servers}' if servers else None


@check('REFUSED')
def _find_refused(case):
    attempt = case.attempt
    if (
        attempt.path in REPEATS
        or attempt.status not in _PROMISES
        or not case.runs
    ):
        return None
    return f'told {attempt.status} though it ran'


@check('TWICE')
def _find_repeated(case):
    allowed = REPEATS.get(case.attempt.path, 1)
    if len(case.runs) <= allowed:
        return None
    return f'{len(case.runs)} runs of at most {allowed}'


@check('MIXED')
def _find_mixed(case):
    return '; '.join(case.attempt.faults) or None


@check('NO END')
def _find_endless(case):
    if case.attempt.outcome != 'silent' or case.is_disturbed:
        return None
    return 'no answer'


@check('DENIED')
def _find_denied(case):
    status = case.attempt.status
    if case.attempt.path.startswith('/extra') or status is None:
        return None
    is_denial = HTTPStatus.MULTIPLE_CHOICES <= status < 500
    return f'told {status}' if is_denial and status not in _PROMISES else None


def make_cases(attempts, events, plan):
    """Return the Case of each attempt.

    Args:
      attempts: All Attempts.
      events: The servers' events.
      plan: The Plan that disturbed the run.
    """
    events_of = defaultdict(list)
    left_at = {}
    for event in events:
        events_of[event.get('id')].append(event)
        if event['event'] == 'put' and event['state'] != 'ready':
            identity = event['key'].removeprefix(SERVERS_PREFIX)
            left_at.setdefault(identity, event['t'])
    return [
        Case(
            attempt,
            events_of[attempt.request_id],
            plan.log,
            plan.config.shortest_timeout_s,
            left_at,
        )
        for attempt in attempts
    ]


def find_violations(cases):
    """Return texts that each describe a violation.

    Args:
      cases: Cases.
    """
    found = [
        (name, find(case), case)
        for case in cases
        for name, find in CHECKS.items()
    ]
    return [f'{name}: {what}; {case}' for name, what, case in found if what]
