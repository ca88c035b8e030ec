"""Admission of requests with API keys by the age of the configuration.

A revoked key must be refused within a bounded time, even by an instance that
is cut off from the platform.  With strict revocation, an instance admits
requests only while its configuration was recently confirmed as current.
Otherwise it keeps using the newest configuration that it has, so that an
outage of the platform does not reject all callers.
"""

#: Reserved for requests that are already on the way to a backend server when
#: the time to refuse a revoked key ends: over twice the 300 ms within which
#: most requests start.
_DISPATCH_MARGIN_MS = 700


class KeyAdmission:
    """Decides whether the configuration is fresh enough to check keys.

    Attributes:
      max_proof_age_ms: The greatest age of the last confirmation of the
        configuration, in milliseconds, or None if its age does not matter.
    """

    __slots__ = ('max_proof_age_ms',)

    def __init__(self, max_proof_age_ms):
        """Create the policy.

        Args:
          max_proof_age_ms: See the class.
        """
        self.max_proof_age_ms = max_proof_age_ms

    def allows(self, proof_age_ms):
        """Return whether keys may be checked against the configuration.

        Args:
          proof_age_ms: Milliseconds since the configuration was confirmed as
            current, or None if it never was.
        Returns:
          A bool.
        """
        if self.max_proof_age_ms is None:
            return True
        return (
            proof_age_ms is not None and proof_age_ms <= self.max_proof_age_ms
        )


def make_key_admission(bounds):
    """Return the admission policy of a deployment.

    Args:
      bounds: An object with `is_revocation_strict`, a bool, and `revoke_ms`,
        the time within which a revoked key must be refused.
    """
    if not bounds.is_revocation_strict:
        return KeyAdmission(None)
    return KeyAdmission(bounds.revoke_ms - _DISPATCH_MARGIN_MS)
