"""Interface of group membership to the other entry instances."""

import abc


class MembershipPorts(abc.ABC):
    """The dependencies of Membership.

    Attributes:
      random: A random.Random.
    """

    @abc.abstractmethod
    def now_ms(self):
        """Return the time on the clock of this process."""

    @abc.abstractmethod
    def probe(self, member, on_done):
        """Send a probe that carries membership updates.

        Args:
          member: The Member to probe.
          on_done: A function of a bool, whether the member responded in time.
        """

    @abc.abstractmethod
    def probe_through(self, helper, member, on_done):
        """Probe a member indirectly, through another member.

        Args:
          helper: The Member that sends the probe.
          member: The Member to probe.
          on_done: A function of a bool, whether the member responded.
        """
