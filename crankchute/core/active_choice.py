"""Selection of the active instances: the strongest, across data centres.

The selection is deterministic: instances with the same view of the members and
of their health select the same active ones without coordination.
"""

import hashlib
import math

import xxhash

_MIN_ACTIVE = 3
#: One instance in this many is active, once that exceeds the minimum.
_INSTANCES_PER_ACTIVE = 24


def count_active(known):
    """Return the number of active instances for a fleet size.

    Args:
      known: The number of instances.
    """
    wanted = max(_MIN_ACTIVE, -(-known // _INSTANCES_PER_ACTIVE))
    return min(known, wanted)


def hash_members(members):
    """Return a hash that identifies an ordered list of members.

    Args:
      members: An iterable of Member.
    """
    text = ' '.join(member.identity for member in members)
    return xxhash.xxh32_intdigest(text.encode())


def choose_home(members, own):
    """Return the active member that an instance polls, or None.

    Members in the instance's own data centre are preferred.  The hash spreads
    the polling instances evenly over the candidates.

    Args:
      members: The active Members to choose from.
      own: The Member that polls.
    """
    local = [one for one in members if one.data_centre == own.data_centre]
    return min(
        local or members,
        key=lambda one: hash_members((one, own)),
        default=None,
    )


class Ranking:
    """Members in the order in which they become active.

    Members with more CPU come first, because a single event loop on an active
    instance schedules and relays the requests of all clients.  Members of the
    same strength class are ordered by a hash of their id.  Each class is
    indexed by data centre, so that a choice across data centres does not scan
    every member.

    Attributes:
      members: All ranked Members, best first.
    """

    __slots__ = ('_classes', 'members')

    def __init__(self, members):
        """Rank members.

        Args:
          members: An iterable of Member.
        """
        self.members = sorted(members, key=_rank_key)
        self._classes = {}
        for member in self.members:
            by_centre = self._classes.setdefault(_strength_class(member), {})
            by_centre.setdefault(member.data_centre, []).append(member)

    def __len__(self):
        """Return the number of ranked members."""
        return len(self.members)

    def choose(self, count, accepts):
        """Choose members, spread over as many data centres as possible.

        Args:
          count: The number of members to choose.
          accepts: A predicate on a Member; only matching members are chosen.
        Returns:
          A list of Member, shorter than `count` if too few match.
        """
        chosen = []
        for by_centre in self._classes.values():
            remaining = [iter(members) for members in by_centre.values()]
            while remaining and len(chosen) < count:
                remaining = _choose_one_per_centre(remaining, accepts, chosen)
        return chosen[:count]


def _choose_one_per_centre(remaining, accepts, chosen):
    """Choose the best matching member of each data centre, in rank order.

    Args:
      remaining: Iterators over the members of each data centre.
      accepts: See Ranking.choose.
      chosen: The list that the members are appended to.
    Returns:
      The iterators that are not exhausted.
    """
    found = [(next(filter(accepts, one), None), one) for one in remaining]
    found = [pair for pair in found if pair[0] is not None]
    found.sort(key=lambda pair: _rank_key(pair[0]))
    chosen.extend(member for member, _rest in found)
    return [rest for _member, rest in found]


def _strength_class(member):
    """Return the strength class of a member; lower means more CPU.

    Each doubling of the CPU is one class.
    """
    return -round(math.log2(max(member.strength, 1)))


def _rank_key(member):
    digest = hashlib.blake2b(member.identity.encode(), digest_size=8)
    return _strength_class(member), digest.digest()
