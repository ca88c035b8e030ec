"""The model of configuration revisions.

The platform publishes revisions, one of them invalid, and its replicas may
serve old ones.  Two instances read from it, pull from each other, and lose
their state when they restart.

The model makes two assumptions, which docs/PROMISES.md lists as not proved: the
instances do not both restart while the platform is stale, and a revision in
force at an instance has reached its peer before the instance restarts.

Guards, each of which one mutation removes:
  monotonic: an instance accepts only revisions above the one in force.
  validation: an invalid revision is not put in force.
  peer_sync: a restarted instance serves only after it pulled from its peer.
"""

from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('monotonic', 'validation', 'peer_sync'))
_NEWEST = 4
_INVALID = 3


class State(NamedTuple):
    """A state of the model; pairs have an entry for each instance.

    Attributes:
      published: The latest revision of the platform.
      in_force: The revision in force, a pair.
      seen: The highest revision seen, a pair.
      serving: Whether the instance serves, a pair.
      synced: Whether it pulled from its peer since its start, a pair.
      previous: The revision in force before the last restart, a pair.
      regressed: Whether a serving instance put an older revision in force.
    """

    published: int = 1
    in_force: tuple = (1, 1)
    seen: tuple = (1, 1)
    serving: tuple = (True, True)
    synced: tuple = (True, True)
    previous: tuple = (0, 0)
    regressed: bool = False


INVARIANTS = MappingProxyType(
    {
        'the revision in force never decreases': lambda state: (
            not state['regressed']
        ),
        'no invalid revision is in force': (
            lambda state: _INVALID not in state['in_force']
        ),
    }
)
MUTATIONS = (
    ('monotonic', 'the revision in force never decreases'),
    ('peer_sync', 'the revision in force never decreases'),
    ('validation', 'no invalid revision is in force'),
)


def list_steps(state, guards):
    """Return the possible transitions; see list_steps in once.py."""
    steps = []
    if state.published < _NEWEST:
        advanced = state._replace(published=state.published + 1)
        steps.append(('publish', advanced))
    for instance in (0, 1):
        steps.extend(_read_steps(state, instance, guards))
        steps.extend(_peer_steps(state, instance, guards))
    return steps


def _read_steps(state, instance, guards):
    for revision in range(1, state.published + 1):
        yield (
            f'{instance} reads revision {revision}',
            _apply(state, instance, revision, guards),
        )


def _peer_steps(state, instance, guards):
    peer = 1 - instance
    peer_is_current = state.in_force[peer] >= state.in_force[instance]
    if peer_is_current and all(state.serving):
        yield f'{instance} restarts', _restart(state, instance)
    if state.serving[peer]:
        pulled = _apply(state, instance, state.in_force[peer], guards)
        yield (
            f'{instance} pulls',
            pulled._replace(synced=_replace_at(state.synced, instance, True)),
        )
    may_serve = state.synced[instance] or 'peer_sync' not in guards
    if state.in_force[instance] and may_serve and not state.serving[instance]:
        has_regressed = state.in_force[instance] < state.previous[instance]
        yield (
            f'{instance} serves',
            state._replace(
                serving=_replace_at(state.serving, instance, True),
                regressed=state.regressed or has_regressed,
            ),
        )


def _restart(state, instance):
    return state._replace(
        previous=_replace_at(
            state.previous, instance, state.in_force[instance]
        ),
        in_force=_replace_at(state.in_force, instance, 0),
        seen=_replace_at(state.seen, instance, 0),
        serving=_replace_at(state.serving, instance, False),
        synced=_replace_at(state.synced, instance, False),
    )


def _apply(state, instance, revision, guards):
    current = state.in_force[instance]
    if 'monotonic' in guards and revision <= current:
        return state
    seen = _replace_at(
        state.seen, instance, max(state.seen[instance], revision)
    )
    if 'validation' in guards and revision == _INVALID:
        return state._replace(seen=seen)
    return state._replace(
        in_force=_replace_at(state.in_force, instance, revision),
        seen=seen,
        regressed=state.regressed
        or (state.serving[instance] and revision < current),
    )


def _replace_at(pair, index, new):
    return tuple(
        new if position == index else old for position, old in enumerate(pair)
    )
