"""The model of engines: holds with deadlines, and orders with fences.

An instance makes a hold for an admitted request and may crash or pause for
ever; its release may be lost.  Two instances may both believe that they own
an engine; orders arrive late and in any order.

Guards, each of which a mutation drops:
  deadline: an engine frees a hold at its deadline, whoever made it.
  timer: an instance ends a request at its deadline.
  wake: an instance that slept ends what is past its deadline before it sends.
  fence: an engine that checks refuses an order below the highest it saw.
  repass: for one that does not check, the owner orders again when the state
    is not as wanted.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('deadline', 'timer', 'wake', 'fence', 'repass'))
_END = 3
_DEADLINE = 2
_OLD, _NEW = 1, 2


class State(NamedTuple):
    """One state of the model.

    Attributes:
      time: 0 to 3; the request's deadline is 2.
      alive: Whether the instance lives.
      paused: Whether the instance sleeps.
      admitted: Whether the request was admitted.
      ended: Whether it ended.
      sent_late: Whether a token was sent after the deadline.
      held: Whether the engine holds memory for it.
      orders: Orders on their way, a frozenset of revisions.
      strict: What the engine that checks fences holds.
      highest: The highest fence that it saw.
      loose: What the engine that does not check holds.
      fell: Whether the strict engine went back.
    """

    time: int = 0
    alive: bool = True
    paused: bool = False
    admitted: bool = False
    ended: bool = False
    sent_late: bool = False
    held: bool = False
    orders: frozenset = frozenset((_OLD, _NEW))
    strict: int = 0
    highest: int = 0
    loose: int = 0
    fell: bool = False


def _is_overdue(state):
    waits = state['admitted'] and not state['ended']
    is_up = state['alive'] and not state['paused']
    return waits and is_up and state['time'] > _DEADLINE


INVARIANTS = MappingProxyType(
    {
        'every hold is released after its deadline': (
            lambda state: not (state['held'] and state['time'] > _DEADLINE)
        ),
        'every admitted request ends': lambda state: not _is_overdue(state),
        'nothing is sent after the deadline': (
            lambda state: not state['sent_late']
        ),
        'a checked engine never goes back': lambda state: not state['fell'],
        'an unchecked engine comes right': (
            lambda state: state['orders'] or state['loose'] in {0, _NEW}
        ),
    }
)
MUTATIONS = (
    ('deadline', 'every hold is released after its deadline'),
    ('timer', 'every admitted request ends'),
    ('wake', 'nothing is sent after the deadline'),
    ('fence', 'a checked engine never goes back'),
    ('repass', 'an unchecked engine comes right'),
)


def list_steps(state, guards):
    """Return the steps that may follow a state; see once.list_steps."""
    steps = list(_request_steps(state, guards))
    steps.extend(_fault_steps(state, guards))
    for revision in sorted(state.orders):
        steps.extend(_order_steps(state, revision, guards))
    return steps


def _request_steps(state, guards):
    awake = state.alive and not state.paused
    if awake and not state.admitted and state.time < _DEADLINE:
        yield 'admit', state._replace(admitted=True)
    open_request = awake and state.admitted and not state.ended
    if open_request and not state.held and state.time < _DEADLINE:
        yield 'hold', state._replace(held=True)
    if open_request:
        late = state.time > _DEADLINE
        yield 'send a token', state._replace(sent_late=state.sent_late or late)
        yield 'finish', state._replace(ended=True, held=False)
        yield 'finish, release lost', state._replace(ended=True)
    if state.time < _END:
        yield 'time passes', _pass_time(state, guards)


def _fault_steps(state, guards):
    if state.alive:
        yield 'crash', state._replace(alive=False)
    if state.alive and not state.paused:
        yield 'pause', state._replace(paused=True)
    if state.alive and state.paused:
        yield 'wake', _wake(state._replace(paused=False), guards)


def _pass_time(state, guards):
    later = state._replace(time=state.time + 1)
    if later.time > _DEADLINE and 'deadline' in guards:
        later = later._replace(held=False)
    if later.alive and not later.paused and 'timer' in guards:
        later = _end_late(later)
    return later


def _wake(state, guards):
    return _end_late(state) if 'wake' in guards else state


def _end_late(state):
    if state.admitted and state.time > _DEADLINE:
        return state._replace(ended=True)
    return state


def _order_steps(state, revision, guards):
    left = state._replace(orders=state.orders - {revision})
    if revision == _NEW:
        yield 'an order is lost and sent again', state
    else:
        yield 'a late order is lost', left
    strict = left
    if revision >= state.highest or 'fence' not in guards:
        strict = left._replace(
            strict=revision,
            highest=max(state.highest, revision),
            fell=state.fell or revision < state.strict,
        )
    loose = strict._replace(loose=revision)
    if revision == _OLD and 'repass' in guards:
        loose = loose._replace(orders=loose.orders | {_NEW})
    yield f'order {revision} arrives', loose
