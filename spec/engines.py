"""The model of engines: holds with deadlines and orders with fences.

An instance reserves memory for an admitted request; it may crash or pause
indefinitely, and its release may be lost.  Two instances may both believe that
they own an engine; orders are delayed and reordered.

Guards, each of which one mutation removes:
  hold_deadline: an engine frees a hold at its deadline.
  request_deadline: an instance ends a request at its deadline.
  resume_check: after a pause, an instance ends overdue requests before it
    sends anything.
  fence: an engine that checks fences rejects orders below the highest fence.
  reconcile: to an engine without that check, the owner repeats the order when
    the reported state differs from the target.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(
    ('hold_deadline', 'request_deadline', 'resume_check', 'fence', 'reconcile')
)
_MAX_TIME = 3
_DEADLINE = 2
_OLD, _NEW = 1, 2


class State(NamedTuple):
    """A state of the model.

    Attributes:
      time: 0 to 3; the deadline of the request is 2.
      alive: Whether the instance is running.
      paused: Whether the instance is paused.
      admitted: Whether the request was admitted.
      ended: Whether the request ended.
      sent_late: Whether a token was sent after the deadline.
      held: Whether the engine holds memory for the request.
      orders: Orders in transit, a frozenset of revisions.
      fenced: The revision at the engine that checks fences.
      highest_fence: The highest fence that this engine received.
      unfenced: The revision at the engine that does not check fences.
      regressed: Whether the fenced engine returned to an older revision.
    """

    time: int = 0
    alive: bool = True
    paused: bool = False
    admitted: bool = False
    ended: bool = False
    sent_late: bool = False
    held: bool = False
    orders: frozenset = frozenset((_OLD, _NEW))
    fenced: int = 0
    highest_fence: int = 0
    unfenced: int = 0
    regressed: bool = False


def _is_overdue(state):
    is_open = state['admitted'] and not state['ended']
    is_running = state['alive'] and not state['paused']
    return is_open and is_running and state['time'] > _DEADLINE


INVARIANTS = MappingProxyType(
    {
        'holds are released after their deadline': (
            lambda state: not (state['held'] and state['time'] > _DEADLINE)
        ),
        'admitted requests end': lambda state: not _is_overdue(state),
        'no token is sent after the deadline': (
            lambda state: not state['sent_late']
        ),
        'a fenced engine never regresses': lambda state: not state['regressed'],
        'an unfenced engine converges': (
            lambda state: state['orders'] or state['unfenced'] in {0, _NEW}
        ),
    }
)
MUTATIONS = (
    ('hold_deadline', 'holds are released after their deadline'),
    ('request_deadline', 'admitted requests end'),
    ('resume_check', 'no token is sent after the deadline'),
    ('fence', 'a fenced engine never regresses'),
    ('reconcile', 'an unfenced engine converges'),
)


def list_steps(state, guards):
    """Return the possible transitions; see list_steps in once.py."""
    steps = list(_request_steps(state, guards))
    steps.extend(_fault_steps(state, guards))
    for revision in sorted(state.orders):
        steps.extend(_order_steps(state, revision, guards))
    return steps


def _request_steps(state, guards):
    is_running = state.alive and not state.paused
    if is_running and not state.admitted and state.time < _DEADLINE:
        yield 'admit', state._replace(admitted=True)
    open_request = is_running and state.admitted and not state.ended
    if open_request and not state.held and state.time < _DEADLINE:
        yield 'hold', state._replace(held=True)
    if open_request:
        is_late = state.time > _DEADLINE
        yield (
            'send a token',
            state._replace(sent_late=state.sent_late or is_late),
        )
        yield 'finish', state._replace(ended=True, held=False)
        yield 'finish with the release lost', state._replace(ended=True)
    if state.time < _MAX_TIME:
        yield 'time passes', _advance_time(state, guards)


def _fault_steps(state, guards):
    if state.alive:
        yield 'crash', state._replace(alive=False)
    if state.alive and not state.paused:
        yield 'pause', state._replace(paused=True)
    if state.alive and state.paused:
        yield 'resume', _resume(state._replace(paused=False), guards)


def _advance_time(state, guards):
    later = state._replace(time=state.time + 1)
    if later.time > _DEADLINE and 'hold_deadline' in guards:
        later = later._replace(held=False)
    if later.alive and not later.paused and 'request_deadline' in guards:
        later = _end_overdue(later)
    return later


def _resume(state, guards):
    return _end_overdue(state) if 'resume_check' in guards else state


def _end_overdue(state):
    if state.admitted and state.time > _DEADLINE:
        return state._replace(ended=True)
    return state


def _order_steps(state, revision, guards):
    remaining = state._replace(orders=state.orders - {revision})
    if revision == _NEW:
        yield 'a new order is lost and resent', state
    else:
        yield 'an old order is lost', remaining
    fenced = remaining
    if revision >= state.highest_fence or 'fence' not in guards:
        fenced = remaining._replace(
            fenced=revision,
            highest_fence=max(state.highest_fence, revision),
            regressed=state.regressed or revision < state.fenced,
        )
    unfenced = fenced._replace(unfenced=revision)
    if revision == _OLD and 'reconcile' in guards:
        unfenced = unfenced._replace(orders=unfenced.orders | {_NEW})
    yield f'order {revision} is delivered', unfenced
