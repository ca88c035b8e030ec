"""What the core asks of the other entry instances."""

import abc


class MembershipPorts(abc.ABC):
    """What Membership works with.

    Attributes:
      random: A random.Random.
    """

    @abc.abstractmethod
    def now_ms(self):
        """Return the time on this process's clock."""

    @abc.abstractmethod
    def probe(self, member, on_done):
        """Send a probe with updates.

        Args:
          member: The Member to probe.
          on_done: A function of a bool, whether it answered in time.
        """

    @abc.abstractmethod
    def probe_through(self, helper, member, on_done):
        """Ask a helper to probe a member.

        Args:
          helper: The Member that is asked.
          member: The Member that is probed.
          on_done: A function of a bool, whether the member answered.
        """
