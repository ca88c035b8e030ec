"""The model of configuration revisions.

The platform publishes revisions, one of them invalid; a replica of it may
serve an old one.  Two instances read it, pull from one another, restart and
lose everything.  Two things are assumed, and docs/PROMISES.md lists them as not
proved: the two do not restart at once before a stale platform, since nobody
would be left who knows better; and what an instance had in force has reached
its peer before it restarts, which takes some milliseconds.

Guards, each of which a mutation drops:
  rise: an instance takes only what leads higher than what is in force.
  check: an invalid revision is not put in force.
  ask: a restarted instance serves only after it asked its peer.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('rise', 'check', 'ask'))
_NEWEST = 4
_INVALID = 3


class State(NamedTuple):
    """One state of the model.

    Attributes:
      published: The platform's revision.
      in_force: The revision in force at both instances, a pair.
      seen: The highest revision seen by both, a pair.
      serving: Whether each serves, a pair.
      asked: Whether each asked its peer since it started, a pair.
      former: What each had in force before it restarted, a pair.
      fell: Whether a revision in force fell at an instance that serves.
    """

    published: int = 1
    in_force: tuple = (1, 1)
    seen: tuple = (1, 1)
    serving: tuple = (True, True)
    asked: tuple = (True, True)
    former: tuple = (0, 0)
    fell: bool = False


INVARIANTS = MappingProxyType(
    {
        'the revision in force never falls': lambda state: not state['fell'],
        'no invalid revision is in force': (
            lambda state: _INVALID not in state['in_force']
        ),
    }
)
MUTATIONS = (
    ('rise', 'the revision in force never falls'),
    ('ask', 'the revision in force never falls'),
    ('check', 'no invalid revision is in force'),
)


def list_steps(state, guards):
    """Return the steps that may follow a state; see once.list_steps."""
    steps = []
    if state.published < _NEWEST:
        newer = state._replace(published=state.published + 1)
        steps.append(('publish', newer))
    for one in (0, 1):
        steps.extend(_read_steps(state, one, guards))
        steps.extend(_peer_steps(state, one, guards))
    return steps


def _read_steps(state, one, guards):
    for revision in range(1, state.published + 1):
        yield (
            f'{one} reads revision {revision}',
            _offer(state, one, revision, guards),
        )


def _peer_steps(state, one, guards):
    other = 1 - one
    has_reached = state.in_force[other] >= state.in_force[one]
    if has_reached and all(state.serving):
        yield f'{one} restarts', _restart(state, one)
    if state.serving[other]:
        pulled = _offer(state, one, state.in_force[other], guards)
        yield (
            f'{one} pulls',
            pulled._replace(asked=_put(state.asked, one, True)),
        )
    may_serve = state.asked[one] or 'ask' not in guards
    if state.in_force[one] and may_serve and not state.serving[one]:
        fell = state.in_force[one] < state.former[one]
        yield (
            f'{one} serves',
            state._replace(
                serving=_put(state.serving, one, True),
                fell=state.fell or fell,
            ),
        )


def _restart(state, one):
    return state._replace(
        former=_put(state.former, one, state.in_force[one]),
        in_force=_put(state.in_force, one, 0),
        seen=_put(state.seen, one, 0),
        serving=_put(state.serving, one, False),
        asked=_put(state.asked, one, False),
    )


def _offer(state, one, revision, guards):
    current = state.in_force[one]
    if 'rise' in guards and revision <= current:
        return state
    seen = _put(state.seen, one, max(state.seen[one], revision))
    if 'check' in guards and revision == _INVALID:
        return state._replace(seen=seen)
    return state._replace(
        in_force=_put(state.in_force, one, revision),
        seen=seen,
        fell=state.fell or (state.serving[one] and revision < current),
    )


def _put(pair, index, entry):
    return tuple(
        entry if place == index else kept for place, kept in enumerate(pair)
    )
