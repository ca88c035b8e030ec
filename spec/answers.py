"""The model of streamed answers.

Two callers each wait for an answer of two tokens, and each may make a second
attempt that resumes.  Frames of all requests and attempts are delivered to
either stream, late, doubled, or not at all, from two engine incarnations.

Guards, each of which a mutation drops:
  request: a frame counts only for the request that it names.
  attempt: a frame counts only for the attempt that it names.
  offset: a frame counts only at the next offset.
  mark: an answer ends only by a mark whose count agrees.
"""

import itertools
from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('request', 'attempt', 'offset', 'mark'))
_LENGTH = 2
_END = -1


class Frame(NamedTuple):
    """A frame on the wire; an offset of -1 is an end mark."""

    request: int
    attempt: int
    offset: int


class State(NamedTuple):
    """One state of the model.

    Attributes:
      got: What each caller got, a pair of tuples of Frame.
      attempt: The attempt that each caller's request is at, a pair.
      ended: Whether each caller was told that the answer is whole, a pair.
    """

    got: tuple = ((), ())
    attempt: tuple = (1, 1)
    ended: tuple = (False, False)


def _all_own(state):
    first, second = state['got']
    return not _has_other(first, 0) and not _has_other(second, 1)


def _has_other(frames, caller):
    return any(frame.request != caller for frame in frames)


def _whole_in_order(state):
    whole = list(range(_LENGTH))
    ended = itertools.compress(state['got'], state['ended'])
    return all(_list_offsets(frames) == whole for frames in ended)


def _list_offsets(frames):
    return [frame.offset for frame in frames]


def _in_turn(state):
    return all(_is_rising(frames) for frames in state['got'])


def _is_rising(frames):
    numbers = [frame.attempt for frame in frames]
    return numbers == sorted(numbers)


INVARIANTS = MappingProxyType(
    {
        "no answer reaches another's caller": _all_own,
        'an answer that looks whole is whole': _whole_in_order,
        'a former attempt adds nothing': _in_turn,
    }
)
MUTATIONS = (
    ('request', "no answer reaches another's caller"),
    ('offset', 'an answer that looks whole is whole'),
    ('mark', 'an answer that looks whole is whole'),
    ('attempt', 'a former attempt adds nothing'),
)
_WIRE = tuple(
    Frame(*numbers)
    for numbers in itertools.product((0, 1), (1, 2), (0, 1, _END))
)


def list_steps(state, guards):
    """Return the steps that may follow a state; see once.list_steps."""
    steps = []
    for caller in (0, 1):
        if state.ended[caller]:
            continue
        if state.attempt[caller] == 1:
            second = _put(state.attempt, caller, 2)
            steps.append(
                (f'{caller} tries again', state._replace(attempt=second)),
            )
        for frame in _WIRE:
            after = _match(state, caller, frame, guards)
            steps.append((f'{caller} receives {tuple(frame)}', after))
    return steps


def _match(state, caller, frame, guards):
    got = state.got[caller]
    if not _is_expected(state, caller, frame, guards):
        return state
    if frame.offset == _END:
        return state._replace(ended=_put(state.ended, caller, True))
    if len(got) == _LENGTH:
        return state
    return state._replace(got=_put(state.got, caller, (*got, frame)))


def _is_expected(state, caller, frame, guards):
    length = len(state.got[caller])
    matches = {
        'request': frame.request == caller,
        'attempt': frame.attempt == state.attempt[caller],
        'offset': frame.offset in {length, _END},
        'mark': frame.offset != _END or length == _LENGTH,
    }
    return all(matches[guard] for guard in guards)


def _put(pair, index, entry):
    return tuple(
        entry if place == index else kept for place, kept in enumerate(pair)
    )
