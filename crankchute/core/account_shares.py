"""Recent engine time by client account, and the accounts' fair shares.

The sums come from the work that all active instances report to each other, so
all of them compute nearly the same shares without a coordinator.  The table is
a space-saving sketch (Metwally, Agrawal and El Abbadi): an account that has no
entry takes over the entry with the smallest sum.  Its size is bounded, and it
holds every account with more than 1/512 of the total.
"""

from collections import OrderedDict

from sortedcontainers import SortedList

from crankchute.core.hashing import make_fingerprint

#: The hash of work without a client account.
NO_ACCOUNT = 0
#: The maximum number of accounts with an entry.
MAX_ACCOUNTS = 512
#: The half-life of recorded work, the same as that of the demand by length.
_HALF_LIFE_MS = 2000
#: An account is assumed to want up to this multiple of the work sent for it,
#: since work that was refused is not recorded.  Ten times the capacity is the
#: largest overload that admission is required to handle.
_MAX_UNMET_DEMAND = 10
#: An account with less recent engine time is never in excess.  It is below
#: the cost of a usual prompt, which cannot be divided.
_MIN_SHARE_MS = 50
#: Entries with less engine time are removed.
_NEGLIGIBLE_MS = 0.1
#: The fair share is computed at most once in this period, so that its cost
#: does not grow with the rate of requests.
_SHARE_VALID_MS = 20
#: Sums are stored in units that grow instead of being decayed one by one.
#: They are converted before the units exceed the range of a float.
_MAX_UNIT_AGE_MS = 100 * _HALF_LIFE_MS
_HASH_MASK = 0xFFFFFFFF


def hash_account(name):
    """Return the hash of an account's name, which is equal at all instances.

    Args:
      name: A string, or None for a request without an account.
    Returns:
      An int of 32 bits, NO_ACCOUNT only for None.
    """
    if name is None:
        return NO_ACCOUNT
    return (make_fingerprint(name.encode()) & _HASH_MASK) or 1


class AccountUsage:
    """The recent usage of one account, for display.

    Attributes:
      account: The hash of the account's name.
      name: The name, or None if this instance has not seen it recently.
      share: The account's part of the recent engine time, from 0 to 1.
      excess: See AccountShares.excess.
    """

    __slots__ = ('account', 'excess', 'name', 'share')

    def __init__(self, account, name, *, share, excess):
        """Create the record; see the class for the arguments."""
        self.account = account
        self.name = name
        self.share = share
        self.excess = excess


class AccountShares:
    """Exponentially decaying sums of engine time by account."""

    __slots__ = (
        '_fair_share',
        '_fair_share_until_ms',
        '_inherited',
        '_names',
        '_order',
        '_sums',
        '_unit_at_ms',
    )

    def __init__(self):
        """Create the sums without any work."""
        self._sums = {}
        # The part of each sum that may belong to evicted accounts.
        self._inherited = {}
        # Pairs of a sum and its account.
        self._order = SortedList()
        self._names = OrderedDict()
        self._unit_at_ms = float(0)
        self._fair_share = float(0)
        self._fair_share_until_ms = float('-inf')

    def identify(self, name):
        """Return the hash of an account, and keep its name for display.

        Args:
          name: A string, or None for a request without an account.
        """
        account = hash_account(name)
        if account != NO_ACCOUNT:
            self._names[account] = name
            self._names.move_to_end(account)
            if len(self._names) > MAX_ACCOUNTS:
                self._names.popitem(last=False)
        return account

    def count_accounts(self, now_ms):
        """Return the number of accounts with an entry.

        Args:
          now_ms: The time.
        """
        self._remove_negligible(now_ms)
        return len(self._sums)

    def record(self, account, cost_ms, now_ms):
        """Record work sent by any instance.

        Args:
          account: The hash of the account; ignored if it is NO_ACCOUNT.
          cost_ms: The engine time of the work.
          now_ms: The time.
        """
        if account == NO_ACCOUNT:
            return
        self._remove_negligible(now_ms)
        previous = self._sums.get(account)
        if previous is None:
            previous = self._make_room()
            self._inherited[account] = previous
        else:
            self._order.remove((previous, account))
        current = previous + cost_ms * self._unit(now_ms)
        self._sums[account] = current
        self._order.add((current, account))

    def excess(self, account, now_ms):
        """Return how far an account is over its fair share.

        The fair share is the max-min share of the recent total: what accounts
        leave unused is divided among the others.  Inherited sums do not count
        against an account.

        Args:
          account: The hash of the account.
          now_ms: The time.
        Returns:
          The ratio of its engine time to the fair share; 1 for an account at
          or below it and for an unknown one.
        """
        # This may convert the stored sums, so it goes first.
        min_share = _MIN_SHARE_MS * self._unit(now_ms)
        total = self._sums.get(account)
        if total is None:
            return 1
        fair_share = max(self._find_fair_share(now_ms), min_share)
        return max((total - self._inherited[account]) / fair_share, 1)

    def list_largest(self, count, now_ms):
        """Return the accounts with the largest shares.

        Args:
          count: The maximum number of accounts.
          now_ms: The time.
        Returns:
          A list of AccountUsage, the largest first.
        """
        self._remove_negligible(now_ms)
        total = sum(self._sums.values())
        return [
            AccountUsage(
                account,
                self._names.get(account),
                share=(one - self._inherited[account]) / total,
                excess=self.excess(account, now_ms),
            )
            for one, account in reversed(self._order[-count:])
        ]

    def _unit(self, now_ms):
        """Return the stored value of a millisecond of engine time.

        It doubles every half-life, so that all stored sums decay by it.
        """
        age_ms = now_ms - self._unit_at_ms
        if age_ms > _MAX_UNIT_AGE_MS:
            self._convert(0.5 ** (age_ms / _HALF_LIFE_MS))
            self._unit_at_ms = now_ms
            age_ms = 0
        return 2 ** (age_ms / _HALF_LIFE_MS)

    def _convert(self, factor):
        """Multiply all stored sums by a factor."""
        for sums in (self._sums, self._inherited):
            sums.update({key: one * factor for key, one in sums.items()})
        self._order = SortedList(
            (total, account) for account, total in self._sums.items()
        )
        self._fair_share *= factor

    def _remove_negligible(self, now_ms):
        """Remove entries that have decayed."""
        limit = _NEGLIGIBLE_MS * self._unit(now_ms)
        while self._order and self._order[0][0] < limit:
            self._remove_smallest()

    def _make_room(self):
        """Return the sum that a new entry inherits."""
        if len(self._sums) < MAX_ACCOUNTS:
            return 0
        return self._remove_smallest()

    def _remove_smallest(self):
        smallest, account = self._order.pop(0)
        self._sums.pop(account)
        self._inherited.pop(account)
        return smallest

    def _find_fair_share(self, now_ms):
        """Return the fair share in the units of the stored sums."""
        if now_ms >= self._fair_share_until_ms:
            self._fair_share_until_ms = now_ms + _SHARE_VALID_MS
            self._fair_share = _divide_fairly(
                [one for one, _account in self._order]
            )
        return self._fair_share


def _divide_fairly(sums):
    """Return the max-min share of the total of work that was sent.

    Accounts that want less than an equal part of what is left get all that
    they want.  The others get equal parts of the rest.

    Args:
      sums: The work sent for each account, in ascending order.
    """
    rest = sum(sums)
    share = rest
    for position, one in enumerate(sums):
        share = rest / (len(sums) - position)
        wanted = one * _MAX_UNMET_DEMAND
        if wanted >= share:
            break
        rest -= wanted
    return share
