"""The model of calls that may not be repeated.

One call, bound to one incarnation of instance A.  The caller submits its key
to A or to B, again and again; messages are lost, late, doubled; A crashes,
restarts and pauses; B's view of A may be old.  The caller may bind anew only
after it concluded that the first key did not run.

Guards, each of which a mutation drops:
  ledger: A dispatches a key only once.
  boot: a restarted A refuses keys of its former incarnation.
  expiry: A refuses a key past its expiry, and forgets it only then.
  sent: an answer that did not come is not taken for one that did not run.
  every: the caller concludes only when every submission was said not to have
    been passed on.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('ledger', 'boot', 'expiry', 'sent', 'every'))
_MOST_SUBMISSIONS = 3
_MOST_RUNS = 2
_NONE = 0
_RUNNING = 1
_NOT_RUN = 2
_DONE = 3
_UNKNOWN = 4


class State(NamedTuple):
    """One state of the model.

    Attributes:
      boot: A's incarnation, 0 or 1; the key is bound to 0.
      entry: What A's ledger holds of the key.
      expired: Whether the key is past its expiry on A's clock.
      net: Messages on their way, a frozenset.
      runs: How often the service executed the key.
      submitted: How many submissions were made.
      cleared: How many of them were said not to have been passed on.
      concluded: Whether the caller took the key for one that did not run.
      said: Whether A said not_run of a dispatched key.
    """

    boot: int = 0
    entry: int = _NONE
    expired: bool = False
    net: frozenset = frozenset()
    runs: int = 0
    submitted: int = 0
    cleared: int = 0
    concluded: bool = False
    said: bool = False


INVARIANTS = MappingProxyType(
    {
        'runs at most once': lambda state: state['runs'] <= 1,
        'not_run is true': lambda state: not (state['said'] and state['runs']),
        'a conclusion of the caller is true': (
            lambda state: not (state['concluded'] and state['runs'])
        ),
    }
)
MUTATIONS = (
    ('ledger', 'runs at most once'),
    ('boot', 'runs at most once'),
    ('expiry', 'runs at most once'),
    ('sent', 'not_run is true'),
    ('every', 'a conclusion of the caller is true'),
)


def list_steps(state, guards):
    """Return the steps that may follow a state.

    Args:
      state: A State.
      guards: The names of the guards in effect, a frozenset.
    Returns:
      A list of pairs of label and State.
    """
    steps = []
    steps.extend(_caller_steps(state, guards))
    steps.extend(_instance_steps(state))
    for message in sorted(state.net):
        steps.append((f'lose {message}', _without(state, message)))
        steps.extend(_deliver(state, message, guards))
    return steps


def _caller_steps(state, guards):
    if state.submitted < _MOST_SUBMISSIONS and not state.concluded:
        for target in ('A', 'B'):
            message = (f'submit-{target}', state.submitted)
            sent = _with(state, message)
            yield (
                f'submit to {target}',
                sent._replace(submitted=state.submitted + 1),
            )
    wanted = state.submitted if 'every' in guards else 1
    if state.submitted and state.cleared >= wanted and not state.concluded:
        yield 'conclude', state._replace(concluded=True)


def _instance_steps(state):
    if state.boot == 0:
        yield 'crash and restart', state._replace(boot=1, entry=_NONE)
    if not state.expired:
        yield 'time passes the expiry', state._replace(expired=True)
    if state.expired and state.entry not in {_NONE, _RUNNING}:
        yield 'forget the key', state._replace(entry=_NONE)


def _deliver(state, message, guards):
    kind, number = message
    if kind == 'submit-B':
        taken = _without(state, message)
        yield 'B passes it on', _with(taken, ('submit-A', number))
        yield 'B knows no A', _with(taken, ('cleared', number))
    elif kind == 'submit-A':
        yield from _claim(state, number, guards)
    elif kind == 'dispatch':
        yield from _execute(state, guards)
    elif kind == 'cleared':
        counted = _without(state, message)
        yield 'caller hears it', counted._replace(cleared=state.cleared + 1)


def _claim(state, number, guards):
    heard = _without(state, ('submit-A', number))
    if _is_refused(state, guards):
        yield 'A refuses the key', heard
    elif state.entry == _NONE or 'ledger' not in guards:
        yield from _start(state, number)
    elif state.entry == _NOT_RUN:
        yield 'A repeats not_run', _with(heard, ('cleared', number))


def _is_refused(state, guards):
    is_other = state.boot and 'boot' in guards
    is_expired = state.expired and 'expiry' in guards
    return is_other or is_expired


def _start(state, number):
    heard = _without(state, ('submit-A', number))
    claimed = state._replace(entry=_RUNNING)
    yield 'A dispatches', _with(claimed, ('dispatch', 0))
    refused = heard._replace(entry=_NOT_RUN, said=True)
    yield 'connection refused', _with(refused, ('cleared', number))


def _execute(state, guards):
    if state.runs < _MOST_RUNS:
        done = _without(state, ('dispatch', 0))
        ran = done._replace(runs=state.runs + 1)
        yield 'service runs, A hears', _settle(ran, _DONE)
        yield 'service runs, answer lost', _settle_lost(ran, guards)
    lost = _without(state, ('dispatch', 0))
    yield 'call lost on its way', _settle_lost(lost, guards)


def _settle(state, entry):
    return state._replace(entry=entry) if state.entry == _RUNNING else state


def _settle_lost(state, guards):
    if 'sent' in guards or state.entry != _RUNNING:
        return _settle(state, _UNKNOWN)
    return state._replace(entry=_NOT_RUN, said=True)


def _with(state, message):
    return state._replace(net=state.net | {message})


def _without(state, message):
    return state._replace(net=state.net - {message})
