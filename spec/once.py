"""The model of calls that run at most once.

A call has an idempotency key that is bound to one incarnation of instance A.
The caller submits the key repeatedly, to A directly or through B.  Messages
are lost, delayed and duplicated; A crashes and restarts; B may have an
outdated view of A.  The caller may bind the call to a new key only after it
concluded that the first one did not run.

Guards, each of which one mutation removes:
  ledger: A dispatches a key only once.
  boot: a restarted A rejects keys of its previous incarnation.
  expiry: A rejects a key after its expiry, and keeps the entry until then.
  lost_answer: a dispatched call without an answer is not reported as not run.
  all_submissions: the caller concludes only after every submission was
    reported as not run.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(
    ('ledger', 'boot', 'expiry', 'lost_answer', 'all_submissions')
)
_MAX_SUBMISSIONS = 3
_MAX_RUNS = 2
_NONE = 0
_RUNNING = 1
_NOT_RUN = 2
_DONE = 3
_UNKNOWN = 4


class State(NamedTuple):
    """A state of the model.

    Attributes:
      boot: The incarnation of A, 0 or 1; the key is bound to 0.
      entry: The entry of the key in the ledger of A.
      expired: Whether the key has expired on the clock of A.
      network: Messages in transit, a frozenset.
      runs: The number of executions by the service.
      submitted: The number of submissions.
      rejected: The number of submissions reported as not run.
      concluded: Whether the caller concluded that the key did not run.
      reported_not_run: Whether A reported a dispatched key as not run.
    """

    boot: int = 0
    entry: int = _NONE
    expired: bool = False
    network: frozenset = frozenset()
    runs: int = 0
    submitted: int = 0
    rejected: int = 0
    concluded: bool = False
    reported_not_run: bool = False


INVARIANTS = MappingProxyType(
    {
        'a call runs at most once': lambda state: state['runs'] <= 1,
        'a reported not_run is correct': lambda state: (
            not (state['reported_not_run'] and state['runs'])
        ),
        'a conclusion of the caller is correct': (
            lambda state: not (state['concluded'] and state['runs'])
        ),
    }
)
MUTATIONS = (
    ('ledger', 'a call runs at most once'),
    ('boot', 'a call runs at most once'),
    ('expiry', 'a call runs at most once'),
    ('lost_answer', 'a reported not_run is correct'),
    ('all_submissions', 'a conclusion of the caller is correct'),
)


def list_steps(state, guards):
    """Return the possible transitions from a state.

    Args:
      state: A State.
      guards: The names of the active guards, a frozenset.
    Returns:
      A list of pairs of label and next State.
    """
    steps = []
    steps.extend(_caller_steps(state, guards))
    steps.extend(_instance_steps(state))
    for message in sorted(state.network):
        steps.append((f'lose {message}', _remove_message(state, message)))
        steps.extend(_deliver(state, message, guards))
    return steps


def _caller_steps(state, guards):
    if state.submitted < _MAX_SUBMISSIONS and not state.concluded:
        for target in ('A', 'B'):
            message = (f'submit-{target}', state.submitted)
            sent = _add_message(state, message)
            yield (
                f'submit to {target}',
                sent._replace(submitted=state.submitted + 1),
            )
    required = state.submitted if 'all_submissions' in guards else 1
    if state.submitted and state.rejected >= required and not state.concluded:
        yield 'the caller concludes', state._replace(concluded=True)


def _instance_steps(state):
    if state.boot == 0:
        yield 'A crashes and restarts', state._replace(boot=1, entry=_NONE)
    if not state.expired:
        yield 'the key expires', state._replace(expired=True)
    if state.expired and state.entry not in {_NONE, _RUNNING}:
        yield 'A deletes the entry', state._replace(entry=_NONE)


def _deliver(state, message, guards):
    kind, number = message
    if kind == 'submit-B':
        delivered = _remove_message(state, message)
        yield (
            'B forwards the submission',
            _add_message(delivered, ('submit-A', number)),
        )
        yield 'B does not know A', _add_message(delivered, ('rejected', number))
    elif kind == 'submit-A':
        yield from _submit(state, number, guards)
    elif kind == 'dispatch':
        yield from _execute(state, guards)
    elif kind == 'rejected':
        counted_rejection = _remove_message(state, message)
        yield (
            'the caller receives the rejection',
            counted_rejection._replace(rejected=state.rejected + 1),
        )


def _submit(state, number, guards):
    delivered = _remove_message(state, ('submit-A', number))
    if _is_rejected(state, guards):
        yield 'A rejects the key', delivered
    elif state.entry == _NONE or 'ledger' not in guards:
        yield from _dispatch(state, number)
    elif state.entry == _NOT_RUN:
        yield 'A repeats not_run', _add_message(delivered, ('rejected', number))


def _is_rejected(state, guards):
    is_other_boot = state.boot and 'boot' in guards
    is_expired = state.expired and 'expiry' in guards
    return is_other_boot or is_expired


def _dispatch(state, number):
    delivered = _remove_message(state, ('submit-A', number))
    claimed = state._replace(entry=_RUNNING)
    yield 'A dispatches', _add_message(claimed, ('dispatch', 0))
    failed = delivered._replace(entry=_NOT_RUN, reported_not_run=True)
    yield (
        'the service refuses the connection',
        _add_message(failed, ('rejected', number)),
    )


def _execute(state, guards):
    if state.runs < _MAX_RUNS:
        done = _remove_message(state, ('dispatch', 0))
        executed = done._replace(runs=state.runs + 1)
        yield (
            'the service runs the call and A gets the answer',
            _record_result(executed, _DONE),
        )
        yield (
            'the service runs the call and the answer is lost',
            _record_lost(executed, guards),
        )
    undelivered = _remove_message(state, ('dispatch', 0))
    yield 'the call is lost in transit', _record_lost(undelivered, guards)


def _record_result(state, entry):
    return state._replace(entry=entry) if state.entry == _RUNNING else state


def _record_lost(state, guards):
    if 'lost_answer' in guards or state.entry != _RUNNING:
        return _record_result(state, _UNKNOWN)
    return state._replace(entry=_NOT_RUN, reported_not_run=True)


def _add_message(state, message):
    return state._replace(network=state.network | {message})


def _remove_message(state, message):
    return state._replace(network=state.network - {message})
