"""Limits of client accounts, shared among entry instances by leases.

An account is served by a few instances.  Each holds an equal fraction of the
account's limits for good, and may lend a part of it to another for a short
time.  A lender counts its loan longer than the borrower does, so the fractions
in use never add up to more than one, also when a message is lost.
"""

_MS_PER_SECOND = 1000
_BURST_MS = 2000
_LOAN_MS = 2000
#: How much longer a lender counts a loan than its borrower.
CLOCK_ALLOWANCE_MS = 500
_SMALLEST_LOAN = 0.02
_HINT_MS = 250
_TOKEN_EPSILON = 1e-6


class Loan:
    """A fraction lent by one instance to another for a while."""

    __slots__ = ('expiry_ms', 'fraction')

    def __init__(self, fraction, expiry_ms):
        """Create a loan.

        Args:
          fraction: A part of the account's whole limits, 0 to 1.
          expiry_ms: When it ends, on the clock of whoever keeps the record.
        """
        self.fraction = fraction
        self.expiry_ms = expiry_ms


class Portion:
    """The fraction of an account's limits that one instance may use."""

    __slots__ = ('_base', '_borrowed', '_lent')

    def __init__(self, width):
        """Create the portion of one of several instances.

        Args:
          width: Among how many instances the account is shared.
        """
        self._base = 1 / width
        self._lent = []
        self._borrowed = []

    def fraction(self, now_ms):
        """Return the fraction that may be used now.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A float from 0 to 1.
        """
        self._lent = _running(self._lent, now_ms)
        self._borrowed = _running(self._borrowed, now_ms)
        lent = sum(loan.fraction for loan in self._lent)
        borrowed = sum(loan.fraction for loan in self._borrowed)
        return min(max(self._base - lent + borrowed, 0), 1)

    def lend(self, wanted, in_use, now_ms):
        """Lend a part of what is not in use.

        Only the portion's own base is lent, never what it borrowed.

        Args:
          wanted: The fraction asked for.
          in_use: The fraction that this instance needs itself.
          now_ms: The time in milliseconds.
        Returns:
          The fraction lent, 0 if there is too little to spare.
        """
        self._lent = _running(self._lent, now_ms)
        lent = sum(loan.fraction for loan in self._lent)
        spare = self._base - lent - in_use
        fraction = min(wanted, spare)
        if fraction < _SMALLEST_LOAN:
            return 0
        expiry_ms = now_ms + _LOAN_MS + CLOCK_ALLOWANCE_MS
        self._lent.append(Loan(fraction, expiry_ms))
        return fraction

    def borrow(self, fraction, asked_ms):
        """Note a loan that was granted.

        Args:
          fraction: The fraction granted.
          asked_ms: When it was asked for, before the message left.
        """
        if fraction > 0:
            self._borrowed.append(Loan(fraction, asked_ms + _LOAN_MS))


class AccountUse:
    """What one account uses at one instance, against its portion.

    Attributes:
      in_progress: Requests admitted that have not ended, an int.
      is_pressed: Whether the portion is nearly used up or was exceeded since
        this was last asked, a bool.
    """

    __slots__ = (
        '_account',
        '_at_ms',
        '_bucket',
        '_portion',
        '_was_short',
        'in_progress',
    )

    def __init__(self, account, now_ms):
        """Create the record of an account without use.

        Args:
          account: An Account of the configuration.
          now_ms: The time in milliseconds.
        """
        self._account = account
        self._portion = Portion(account.width)
        self._at_ms = now_ms
        self._bucket = self._bucket_size(now_ms)
        self._was_short = False
        self.in_progress = 0

    @property
    def account(self):
        """The Account."""
        return self._account

    @property
    def portion(self):
        """The Portion, to lend from and to borrow for."""
        return self._portion

    def update(self, account):
        """Take a new configuration of the account.

        Args:
          account: An Account; a changed width starts the portion anew.
        """
        if account.width != self._account.width:
            self._portion = Portion(account.width)
        self._account = account

    def admit(self, tokens, now_ms):
        """Count a request in if the limits allow it.

        Args:
          tokens: The prompt's length.
          now_ms: The time in milliseconds.
        Returns:
          None if it is admitted, else milliseconds after which to ask again.
        """
        self._refill(now_ms)
        allowed = self._allowed_in_progress(now_ms)
        if self.in_progress >= allowed:
            self._was_short = True
            return _HINT_MS
        needed = min(tokens, self._bucket_size(now_ms))
        if needed > self._bucket + _TOKEN_EPSILON:
            self._was_short = True
            return self._refill_ms(needed - self._bucket, now_ms)
        self._bucket -= tokens
        self.in_progress += 1
        return None

    def release(self):
        """Count a request out."""
        self.in_progress -= 1

    def used_fraction(self, now_ms):
        """Return the fraction of the whole limits in use here.

        Args:
          now_ms: The time in milliseconds.
        """
        self._refill(now_ms)
        by_count = self.in_progress / self._account.max_in_progress
        rate = self._account.tokens_per_second * _BURST_MS / _MS_PER_SECOND
        by_rate = (self._bucket_size(now_ms) - self._bucket) / rate
        return min(max(by_count, by_rate, 0), 1)

    def take_shortage(self):
        """Tell whether a request was refused since this was last asked."""
        was_short = self._was_short
        self._was_short = False
        return was_short

    def _allowed_in_progress(self, now_ms):
        fraction = self._portion.fraction(now_ms)
        return max(round(self._account.max_in_progress * fraction), 0)

    def _rate(self, now_ms):
        fraction = self._portion.fraction(now_ms)
        return self._account.tokens_per_second * fraction / _MS_PER_SECOND

    def _bucket_size(self, now_ms):
        return self._rate(now_ms) * _BURST_MS

    def _refill(self, now_ms):
        earned = (now_ms - self._at_ms) * self._rate(now_ms)
        self._bucket = min(self._bucket + earned, self._bucket_size(now_ms))
        self._at_ms = now_ms

    def _refill_ms(self, missing, now_ms):
        rate = self._rate(now_ms)
        return missing / rate if rate else _LOAN_MS


class AccountLimits:
    """The use of all accounts at one instance."""

    def __init__(self, clock):
        """Create without any use.

        Args:
          clock: A Clock.
        """
        self._clock = clock
        self._uses = {}

    def __len__(self):
        """Return for how many accounts there is a record."""
        return len(self._uses)

    def use_of(self, account):
        """Return the AccountUse of an account, made if there is none.

        Args:
          account: An Account of the configuration in force.
        """
        use = self._uses.get(account.name)
        if use is None:
            use = AccountUse(account, self._clock.now_ms())
            self._uses[account.name] = use
        elif use.account is not account:
            use.update(account)
        return use

    def pressed(self):
        """Return the uses that were short since this was last asked."""
        return [use for use in self._uses.values() if use.take_shortage()]

    def forget_idle(self):
        """Forget accounts without requests whose bucket is full again."""
        now_ms = self._clock.now_ms()
        for name, use in tuple(self._uses.items()):
            if not use.in_progress and not use.used_fraction(now_ms):
                self._uses.pop(name)


def _running(loans, now_ms):
    return [loan for loan in loans if loan.expiry_ms > now_ms]
