"""Limits of client accounts, shared among entry instances by loans.

A few instances serve each account.  Each of them owns an equal fraction of the
account's limits and may lend a part of it to another one for a short time.  A
lender counts a loan for longer than the borrower does, so the fractions in use
never add up to more than one, even if a message is lost.
"""

_MS_PER_SECOND = 1000
_BURST_MS = 2000
_LOAN_MS = 2000
#: How much longer the lender counts a loan than the borrower does.
_CLOCK_ALLOWANCE_MS = 500
_MIN_LOAN = 0.02
_RETRY_AFTER_MS = 250
#: Tolerance for rounding errors in token counts.
_TOKEN_EPSILON = 1e-6


class Loan:
    """A fraction of an account's limits, lent for a limited time."""

    __slots__ = ('expiry_ms', 'fraction')

    def __init__(self, fraction, expiry_ms):
        """Create a loan.

        Args:
          fraction: A fraction of the account's limits, 0 to 1.
          expiry_ms: When it ends, on the local clock.
        """
        self.fraction = fraction
        self.expiry_ms = expiry_ms


class Portion:
    """The fraction of an account's limits that one instance may use."""

    __slots__ = ('_borrowed', '_lent', '_own_fraction')

    def __init__(self, width):
        """Create the portion of one instance.

        Args:
          width: The number of instances that share the account.
        """
        self._own_fraction = 1 / width
        self._lent = []
        self._borrowed = []

    def fraction(self, now_ms):
        """Return the fraction that may be used now.

        Args:
          now_ms: The time in milliseconds.
        Returns:
          A float from 0 to 1.
        """
        self._lent = _list_unexpired(self._lent, now_ms)
        self._borrowed = _list_unexpired(self._borrowed, now_ms)
        lent = sum(loan.fraction for loan in self._lent)
        borrowed = sum(loan.fraction for loan in self._borrowed)
        return min(max(self._own_fraction - lent + borrowed, 0), 1)

    def lend(self, wanted, in_use, now_ms):
        """Lend a part of the unused fraction.

        Borrowed fractions are never lent on.

        Args:
          wanted: The requested fraction.
          in_use: The fraction that this instance uses.
          now_ms: The time in milliseconds.
        Returns:
          The fraction lent, 0 if too little is unused.
        """
        self._lent = _list_unexpired(self._lent, now_ms)
        lent = sum(loan.fraction for loan in self._lent)
        spare = self._own_fraction - lent - in_use
        fraction = min(wanted, spare)
        if fraction < _MIN_LOAN:
            return 0
        expiry_ms = now_ms + _LOAN_MS + _CLOCK_ALLOWANCE_MS
        self._lent.append(Loan(fraction, expiry_ms))
        return fraction

    def borrow(self, fraction, requested_ms):
        """Add a granted loan.

        Args:
          fraction: The fraction granted.
          requested_ms: The time before the request was sent.
        """
        if fraction > 0:
            self._borrowed.append(Loan(fraction, requested_ms + _LOAN_MS))


class AccountUsage:
    """One account's usage at one instance.

    Attributes:
      in_progress: The number of admitted requests that have not ended.
    """

    __slots__ = (
        '_account',
        '_bucket',
        '_portion',
        '_refilled_ms',
        '_was_refused',
        'in_progress',
    )

    def __init__(self, account, now_ms):
        """Create the record of an unused account.

        Args:
          account: An Account of the configuration.
          now_ms: The time in milliseconds.
        """
        self._account = account
        self._portion = Portion(account.width)
        self._refilled_ms = now_ms
        self._bucket = self._bucket_size(now_ms)
        self._was_refused = False
        self.in_progress = 0

    @property
    def account(self):
        """The Account."""
        return self._account

    @property
    def portion(self):
        """The Portion."""
        return self._portion

    def update(self, account):
        """Apply a new configuration of the account.

        Args:
          account: An Account; a changed width resets the portion.
        """
        if account.width != self._account.width:
            self._portion = Portion(account.width)
        self._account = account

    def admit(self, tokens, now_ms):
        """Admit a request if the limits allow it.

        Args:
          tokens: The prompt's length.
          now_ms: The time in milliseconds.
        Returns:
          None if it is admitted, else milliseconds after which to retry.
        """
        self._refill(now_ms)
        allowed = self._allowed_in_progress(now_ms)
        if self.in_progress >= allowed:
            self._was_refused = True
            return _RETRY_AFTER_MS
        needed = min(tokens, self._bucket_size(now_ms))
        if needed > self._bucket + _TOKEN_EPSILON:
            self._was_refused = True
            return self._refill_ms(needed - self._bucket, now_ms)
        self._bucket -= tokens
        self.in_progress += 1
        return None

    def release(self):
        """Record the end of an admitted request."""
        self.in_progress -= 1

    def used_fraction(self, now_ms):
        """Return the fraction of the account's limits in use here.

        Args:
          now_ms: The time in milliseconds.
        """
        self._refill(now_ms)
        by_count = self.in_progress / self._account.max_in_progress
        rate = self._account.tokens_per_second * _BURST_MS / _MS_PER_SECOND
        by_rate = (self._bucket_size(now_ms) - self._bucket) / rate
        return min(max(by_count, by_rate, 0), 1)

    def take_refused_flag(self):
        """Return whether a request was refused since the last call."""
        was_refused = self._was_refused
        self._was_refused = False
        return was_refused

    def _allowed_in_progress(self, now_ms):
        fraction = self._portion.fraction(now_ms)
        return max(round(self._account.max_in_progress * fraction), 0)

    def _rate(self, now_ms):
        fraction = self._portion.fraction(now_ms)
        return self._account.tokens_per_second * fraction / _MS_PER_SECOND

    def _bucket_size(self, now_ms):
        return self._rate(now_ms) * _BURST_MS

    def _refill(self, now_ms):
        earned = (now_ms - self._refilled_ms) * self._rate(now_ms)
        self._bucket = min(self._bucket + earned, self._bucket_size(now_ms))
        self._refilled_ms = now_ms

    def _refill_ms(self, missing, now_ms):
        rate = self._rate(now_ms)
        return missing / rate if rate else _LOAN_MS


class AccountLimits:
    """The usage of all accounts at one instance."""

    def __init__(self, clock):
        """Create without records.

        Args:
          clock: A Clock.
        """
        self._clock = clock
        self._uses = {}

    def __len__(self):
        """Return the number of account records."""
        return len(self._uses)

    def usage_of(self, account):
        """Return an account's usage record, creating it if needed.

        Args:
          account: An Account of the current configuration.
        Returns:
          An AccountUsage.
        """
        use = self._uses.get(account.name)
        if use is None:
            use = AccountUsage(account, self._clock.now_ms())
            self._uses[account.name] = use
        elif use.account is not account:
            use.update(account)
        return use

    def list_refused(self):
        """Return the accounts' records with refusals since the last call."""
        return [use for use in self._uses.values() if use.take_refused_flag()]

    def evict_idle(self):
        """Drop accounts without requests whose token bucket is full."""
        now_ms = self._clock.now_ms()
        for name, use in tuple(self._uses.items()):
            if not use.in_progress and not use.used_fraction(now_ms):
                self._uses.pop(name)


def _list_unexpired(loans, now_ms):
    return [loan for loan in loans if loan.expiry_ms > now_ms]
