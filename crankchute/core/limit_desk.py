"""All that an instance knows and does about limits that servers name."""

from crankchute.core.limit_questions import LimitQuestions
from crankchute.core.limit_shares import LimitShares, SharerFinder
from crankchute.core.limit_turns import LimitTurns
from crankchute.core.server_limits import ServerLimits

#: How often an instance looks who divides limits with it.
_LOOK_MS = 250


class LimitDesk:
    """The limits of servers at one instance.

    Attributes:
      words: The ServerLimits.
      turns: The LimitTurns.
      shares: The LimitShares.
    """

    def __init__(self, timers, instance, boot):
        """Create the desk of a process that starts.

        Args:
          timers: A TimerService.
          instance: The instance's id.
          boot: The random id of its process.
        """
        self._timers = timers
        self._finder = SharerFinder(instance)
        self.shares = LimitShares(timers.clock, instance)
        self.words = ServerLimits(timers.clock, f'{instance}-{boot}')
        self.turns = LimitTurns(timers.clock, self.words, self.shares)

    def start(self, list_active, is_lost, ask):
        """Begin to look who divides limits, and to ask whether they go on.

        Args:
          list_active: A function that returns the ids of the instances that
            callers are sent to.
          is_lost: A function of an id that tells whether that instance does
            not answer, though it did not say that it leaves.
          ask: A function of a server's id that asks it anything.
        """

        def look():
            now_ms = self._timers.clock.now_ms()
            sharers = self._finder.find(list_active(), is_lost, now_ms)
            self.shares.note(sharers)

        look()
        self._timers.every(_LOOK_MS, look)
        LimitQuestions(self._timers, self.words, self.shares, ask)
