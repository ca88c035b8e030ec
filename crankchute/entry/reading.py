"""Who reads the platform: a few instances of each data centre.

The rest get changes from peers.  An instance that cannot reach the platform
says so, and the next in rank takes over; it keeps trying at a low rate.
"""

from crankchute.adapters.log import log_change
from crankchute.core.instance_assignment import is_platform_reader

_CHECK_MS = 1000
_FAILING_MS = 2000
_FIRST_READ_MS = 400


class PlatformReader:
    """Switches the watches of one instance on and off."""

    def __init__(self, parts, peering, sources):
        """Start to check whether this instance shall read.

        Args:
          parts: An object with `timers` and `random`.
          peering: The Peering.
          sources: A list of pairs of PlatformWatch and holder.
        """
        self._timers = parts.timers
        self._peering = peering
        self._sources = sources
        self._joining = True
        delay_ms = _FIRST_READ_MS * parts.random.random()
        self._timers.after(delay_ms, self._begin)

    def end_join(self):
        """Leave the reading to the chosen readers from now on."""
        self._joining = False

    def _begin(self):
        self._check()
        self._timers.every(_CHECK_MS, self._check)

    def _check(self):
        membership = self._peering.membership
        self._announce_reach(membership)
        chosen = is_platform_reader(membership.live_members(), membership.own)
        for watch, holder in self._sources:
            lacks = self._joining and not holder.seen_revision
            if chosen or lacks or watch.failing_since_ms is not None:
                watch.switch_on(holder)
            elif watch.is_on:
                watch.switch_off()

    def _announce_reach(self, membership):
        now_ms = self._timers.clock.now_ms()
        reaches = not any(
            watch.failing_since_ms is not None
            and now_ms - watch.failing_since_ms > _FAILING_MS
            for watch, _ in self._sources
        )
        if reaches != membership.own.reads_platform:
            membership.update_own(reads_platform=reaches)
            log_change('platform_reached', reached=reaches)
