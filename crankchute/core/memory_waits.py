"""Estimates when known work at an engine releases its memory."""

import math

#: An answer that takes longer than usual is assumed to take this much longer,
#: as a fraction of the usual time.
_OVERDUE_FRACTION = 0.1


def estimate_release_ms(state, lacking, decode_ms, now_ms):
    """Return the expected time until work that holds enough memory has ended.

    Args:
      state: An EngineState.
      lacking: The tokens of memory that must become free.
      decode_ms: The duration of a usual answer.
      now_ms: The time.
    Returns:
      Milliseconds, 0 if nothing is lacking, or infinity if the known work does
      not hold that much.
    """
    if lacking <= 0:
        return 0
    ends = sorted(
        (estimate_end_ms(work, decode_ms, now_ms), work.memory)
        for work in state.works.values()
    )
    for remaining_ms, freed in ends:
        lacking -= freed
        if lacking <= 0:
            return remaining_ms
    return math.inf


def estimate_end_ms(work, decode_ms, now_ms):
    """Return the expected time until work ends, in milliseconds.

    Args:
      work: A WorkItem.
      decode_ms: The duration of a usual answer.
      now_ms: The time.
    """
    usual_ms = work.first_event_at_ms + decode_ms - now_ms
    overdue_ms = decode_ms * _OVERDUE_FRACTION
    remaining_ms = max(work.until_ms - now_ms, 0)
    return min(max(usual_ms, overdue_ms), remaining_ms)
