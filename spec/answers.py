"""The model of streamed answers.

Two callers each request an answer of two tokens; each may retry once and then
resumes the stream.  Frames of any request and attempt can arrive on either
stream, in any order, repeatedly or never.

Guards, each of which one mutation removes:
  request: a frame is accepted only for the request that it names.
  attempt: a frame is accepted only for the attempt that it names.
  offset: a frame is accepted only at the next offset.
  end_mark: an answer is complete only at an end mark with the right count.
"""

import itertools
from types import MappingProxyType
from typing import NamedTuple

GUARDS = frozenset(('request', 'attempt', 'offset', 'end_mark'))
_LENGTH = 2
_END = -1


class Frame(NamedTuple):
    """A frame of a stream; offset -1 is the end mark."""

    request: int
    attempt: int
    offset: int


class State(NamedTuple):
    """A state of the model.

    Attributes:
      received: The accepted frames of each caller, a pair of tuples.
      attempt: The current attempt of each caller, a pair of ints.
      completed: Whether each answer was reported complete, a pair of bools.
    """

    received: tuple = ((), ())
    attempt: tuple = (1, 1)
    completed: tuple = (False, False)


def _is_not_misrouted(state):
    first, retried = state['received']
    return not _has_misrouted(first, 0) and not _has_misrouted(retried, 1)


def _has_misrouted(frames, caller):
    return any(frame.request != caller for frame in frames)


def _completed_are_whole(state):
    all_offsets = list(range(_LENGTH))
    completed = itertools.compress(state['received'], state['completed'])
    return all(_list_offsets(frames) == all_offsets for frames in completed)


def _list_offsets(frames):
    return [frame.offset for frame in frames]


def _attempts_are_ordered(state):
    return all(_has_ordered_attempts(frames) for frames in state['received'])


def _has_ordered_attempts(frames):
    attempts = [frame.attempt for frame in frames]
    return attempts == sorted(attempts)


INVARIANTS = MappingProxyType(
    {
        'answers are not misrouted': _is_not_misrouted,
        'a completed answer has all tokens in order': _completed_are_whole,
        'a superseded attempt adds no tokens': _attempts_are_ordered,
    }
)
MUTATIONS = (
    ('request', 'answers are not misrouted'),
    ('offset', 'a completed answer has all tokens in order'),
    ('end_mark', 'a completed answer has all tokens in order'),
    ('attempt', 'a superseded attempt adds no tokens'),
)
_FRAMES = tuple(
    Frame(*frame_fields)
    for frame_fields in itertools.product((0, 1), (1, 2), (0, 1, _END))
)


def list_steps(state, guards):
    """Return the possible transitions; see list_steps in once.py."""
    steps = []
    for caller in (0, 1):
        if state.completed[caller]:
            continue
        if state.attempt[caller] == 1:
            retried = _replace_at(state.attempt, caller, 2)
            steps.append(
                (f'{caller} retries', state._replace(attempt=retried)),
            )
        for frame in _FRAMES:
            next_state = _receive(state, caller, frame, guards)
            steps.append((f'{caller} receives {tuple(frame)}', next_state))
    return steps


def _receive(state, caller, frame, guards):
    received = state.received[caller]
    if not _is_accepted(state, caller, frame, guards):
        return state
    if frame.offset == _END:
        return state._replace(
            completed=_replace_at(state.completed, caller, True)
        )
    if len(received) == _LENGTH:
        return state
    return state._replace(
        received=_replace_at(state.received, caller, (*received, frame))
    )


def _is_accepted(state, caller, frame, guards):
    length = len(state.received[caller])
    checks = {
        'request': frame.request == caller,
        'attempt': frame.attempt == state.attempt[caller],
        'offset': frame.offset in {length, _END},
        'end_mark': frame.offset != _END or length == _LENGTH,
    }
    return all(checks[guard] for guard in guards)


def _replace_at(pair, index, new):
    return tuple(
        new if position == index else old for position, old in enumerate(pair)
    )
