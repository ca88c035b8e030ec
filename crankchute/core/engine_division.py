"""Division of a pool's engines between short and long prompts.

Engines are reserved for long prompts by demand, since their prefills would
pause the streams of short prompts at the same engine.  When short prompts that
are more urgent need more engines than that leaves, they take precedence, and
long prompts are restricted to the engines that remain.
"""

import math

#: Engines for urgent prompts, as a multiple of what their work fills: arrivals
#: are uneven, and a request that finds all slots taken is late.
_URGENT_HEADROOM = 1.25
#: The share of the engines that less urgent prompts keep under any load, so
#: that no kind of request starves.
_MIN_DEFERRABLE_SHARE = 0.15


class EngineDivision:
    """How many engines are reserved for long prompts.

    Attributes:
      reserved_count: The number of reserved engines, at least 1.
      is_limited: Whether more urgent prompts limit that number, a bool.
    """

    __slots__ = ('is_limited', 'reserved_count')

    def __init__(self, reserved_count, *, is_limited):
        """Create the division; see the class for the arguments."""
        self.reserved_count = reserved_count
        self.is_limited = is_limited


def divide_engines(total, long_share, urgent_engines):
    """Return the division of a pool.

    Args:
      total: The number of engines.
      long_share: The share of long prompts by demand, from 0 to 1.
      urgent_engines: The number of engines that the work of more urgent short
        prompts fills, a float; 0 if none is more urgent.
    Returns:
      An EngineDivision.
    """
    demanded = max(1, round(total * long_share))
    if not urgent_engines:
        return EngineDivision(demanded, is_limited=False)
    available = total - math.ceil(urgent_engines * _URGENT_HEADROOM)
    limit = max(available, math.ceil(total * _MIN_DEFERRABLE_SHARE))
    return EngineDivision(min(demanded, limit), is_limited=limit < demanded)
