"""Asks servers whether the limits that they named go on.

A limit ends with an answer without it.  Where it is so low that nobody is sent to
the server, or others are better, no answer comes by itself.  One of the instances
that know of it asks, so that the question takes little of the limit.
"""

from crankchute.core.limit_turns import ASK_MS

_CHECK_MS = 500
#: After so long without a word of a limit, from anybody, any instance asks.
_UNTOLD_MS = 10_000


class LimitQuestions:
    """Asks about the limits that fall to one instance."""

    def __init__(self, timers, limits, shares, ask):
        """Create the part, and begin.

        Args:
          timers: A TimerService.
          limits: ServerLimits.
          shares: LimitShares.
          ask: A function of a server's id that asks it anything.
        """
        self._clock = timers.clock
        self._limits = limits
        self._shares = shares
        self._ask = ask
        self._asked_ms = {}
        timers.every(_CHECK_MS, self._check)

    def _check(self):
        now_ms = self._clock.now_ms()
        self._asked_ms = {
            server: asked_ms
            for server, asked_ms in self._asked_ms.items()
            if now_ms - asked_ms < ASK_MS
        }
        for word in self._limits.list_limited():
            is_asked = word.server in self._asked_ms
            if not is_asked and self._is_due(word, now_ms):
                self._asked_ms[word.server] = now_ms
                self._ask(word.server)

    def _is_due(self, word, now_ms):
        """Tell whether this instance has to ask about a limit.

        Whoever should ask may know that it ended, and have told it in vain.
        """
        age_ms = now_ms - word.at_ms
        if age_ms < ASK_MS:
            return False
        return age_ms >= _UNTOLD_MS or self._shares.is_first(word.server)
