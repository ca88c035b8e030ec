"""Decides which suspects of server crashes are quarantined.

A request is quarantined if more crashes have it in common than anything else.
Parts of prompts need evidence: one that is in many prompts is present at many
crashes, whatever their cause.  Such parts are also ignored when crashes are
attributed to other parts, or they would hide those with fewer crashes.
"""

from crankchute.core.crash_attribution import CRASHES_TO_QUARANTINE
from crankchute.core.crash_evidence import Evidence


def find_culprits(log, quarantines, answers, attribute, is_likely_cause):
    """Return the sets of suspects that are likely to have caused crashes.

    Args:
      log: The CrashLog.
      quarantines: The Quarantines; the crashes that they explain are no
        evidence against the causes of others.
      answers: The RecentAnswers.
      attribute: One of the functions of crash_attribution.attributions.
      is_likely_cause: See crash_evidence.
    Returns:
      A list of frozensets of fingerprints.
    """
    explained = {
        crash for crash in log.crashes if quarantines.find(crash.suspects)
    }

    evidence = Evidence(log.crashes, explained, answers)

    def is_likely(suspects):
        return is_likely_cause(suspects, evidence)

    requests = set().union(*(crash.requests for crash in log.crashes))
    unlikely = frozenset(
        part
        for part, count in log.counts.items()
        if count >= CRASHES_TO_QUARANTINE
        and part not in requests
        and not is_likely(frozenset((part,)))
    )
    # No request has the fingerprint of another one.
    single = [one for one in attribute(log.crashes) if len(one & requests) == 1]
    shared = [
        one
        for one in attribute(log.crashes, unlikely)
        if one.isdisjoint(requests) and is_likely(one)
    ]
    return single + shared
