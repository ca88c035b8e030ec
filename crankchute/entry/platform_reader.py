"""Selection of the instances that watch the platform.

A few instances of each data centre watch it; the others receive changes from
them.  An instance that cannot reach the platform announces that, so that the
next one in the ranking takes over, and keeps retrying at a low rate.
"""

from crankchute.adapters.log import log_change
from crankchute.core.instance_assignment import is_platform_reader

_CHECK_INTERVAL_MS = 1000
_UNREACHABLE_AFTER_MS = 2000
_MAX_START_DELAY_MS = 400


class PlatformReader:
    """Turns the watches of one instance on and off."""

    def __init__(self, context, peering, sources):
        """Start to check periodically whether this instance is a reader.

        Args:
          context: An object with the attributes `timers` and `random`.
          peering: The Peering.
          sources: A list of pairs of PlatformWatch and holder.
        """
        self._timers = context.timers
        self._peering = peering
        self._sources = sources
        self._is_joining = True
        delay_ms = _MAX_START_DELAY_MS * context.random.random()
        self._timers.after(delay_ms, self._start)

    def finish_join(self):
        """End the initial reads: from now on only chosen readers watch."""
        self._is_joining = False

    def _start(self):
        self._update_watches()
        self._timers.every(_CHECK_INTERVAL_MS, self._update_watches)

    def _update_watches(self):
        membership = self._peering.membership
        self._announce_reachability(membership)
        is_chosen = is_platform_reader(
            membership.live_members(), membership.own
        )
        for watch, holder in self._sources:
            needs_first_read = self._is_joining and not holder.seen_revision
            if (
                is_chosen
                or needs_first_read
                or watch.failing_since_ms is not None
            ):
                watch.switch_on(holder)
            elif watch.is_on:
                watch.switch_off()

    def _announce_reachability(self, membership):
        now_ms = self._timers.clock.now_ms()
        is_reachable = not any(
            watch.failing_since_ms is not None
            and now_ms - watch.failing_since_ms > _UNREACHABLE_AFTER_MS
            for watch, _ in self._sources
        )
        if is_reachable != membership.own.reads_platform:
            membership.update_own(reads_platform=is_reachable)
            log_change('platform_reached', reached=is_reachable)
