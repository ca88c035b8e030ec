"""Rate limits of backend servers, as one instance applies them."""

from crankchute.core.advertised_limits import AdvertisedLimits
from crankchute.core.cold_servers import ColdServers
from crankchute.core.limit_permits import LimitPermits
from crankchute.core.limit_probes import LimitProber
from crankchute.core.limit_shares import LimitShares, ParticipantTracker
from crankchute.core.limits_in_force import LimitsInForce

_PARTICIPANT_POLL_MS = 250


class ServerRateLimits:
    """The rate limits of backend servers at one instance.

    Attributes:
      advertised: The limits that servers advertise.
      cold: The ColdServers.
      in_force: The LimitsInForce, the lower of both.
      permits: The permits of this instance to send to these servers.
      shares: This instance's shares of the limits.
    """

    def __init__(self, timers, instance, boot):
        """Create the limits of a process that starts.

        Args:
          timers: A TimerService.
          instance: The instance's id.
          boot: The random id of its process.
        """
        self._timers = timers
        self._participant_tracker = ParticipantTracker(instance)
        self.shares = LimitShares(timers.clock, instance)
        self.advertised = AdvertisedLimits(timers.clock, f'{instance}-{boot}')
        self.cold = ColdServers(timers.clock)
        self.in_force = LimitsInForce(self.advertised, self.cold)
        self.permits = LimitPermits(timers.clock, self.in_force, self.shares)

    def start(self, list_active, is_unreachable, send_probe):
        """Start tracking the participants and probing limited servers.

        Args:
          list_active: A function that returns the ids of the instances that
            callers are sent to.
          is_unreachable: A function of an id that returns whether that
            instance does not respond though it did not announce its leave.
          send_probe: A function of a server's id that sends it any request.
        """

        def update_participants():
            now_ms = self._timers.clock.now_ms()
            participants = self._participant_tracker.update(
                list_active(),
                is_unreachable,
                now_ms,
            )
            self.shares.update(participants)

        update_participants()
        self._timers.every(_PARTICIPANT_POLL_MS, update_participants)
        LimitProber(self._timers, self.advertised, self.shares, send_probe)
