"""Attribution of server crashes to the requests that caused them.

A request that crashes every server it runs on is retried by its client, so it
crashes one server after another.  Each crash also interrupts the unrelated
requests in progress there, and their retries may meet the same request again.
Servers also crash for other reasons, alone or many at once.

The number of crashes that a request was present at is therefore not enough.
A crash is attributed to a request only if no other request present at it is a
plausible cause, and a request that was answered afterwards is ruled out.
"""

from collections import Counter

from crankchute.core.registry import Registry

#: Attribution functions by name.  Each takes crashes and returns the
#: fingerprints of the requests that caused them.
attributions = Registry()
#: The name of the function in use; the others are baselines for comparison.
BY_MARGIN = 'lead'
#: A request is no longer sent once this many crashes are attributed to it.
#: Users accept three more crashes after the third, so one loss of the history
#: (all instances lose power) stays within that.
CRASHES_TO_QUARANTINE = 3
#: Every other request present must have met at least this many crashes fewer.
#: With a margin of one, a bystander that meets one unrelated crash as well
#: would be blamed for all of them.
_MIN_MARGIN = 2
#: Crashes noticed within this time of the first one count as simultaneous: a
#: rack that loses power stops its servers within a millisecond, and a busy
#: instance notices some milliseconds later.  Crashes by successive attempts of
#: one request are usually further apart.  The window is not extended by later
#: crashes, because a request that crashes servers as fast as it is sent would
#: then count for a single crash.
_SIMULTANEOUS_MS = 20


@attributions.register(BY_MARGIN)
def attribute_by_lead(crashes):
    """Return the requests to which enough crashes are attributed.

    Args:
      crashes: An iterable of Crash.
    Returns:
      A set of fingerprints.
    """
    groups = [_count_common(group) for group in _group_by_time(crashes)]
    totals = Counter()
    for counts in groups:
        totals.update(counts)
    attributed = Counter()
    for counts in groups:
        culprit = _find_culprit(counts, totals)
        if culprit is not None:
            attributed[culprit] += counts[culprit]
    return {
        one
        for one, count in attributed.items()
        if count >= CRASHES_TO_QUARANTINE
    }


@attributions.register('presence')
def attribute_to_all_present(crashes):
    """Return the requests present at enough crashes; a baseline.

    Args:
      crashes: An iterable of Crash.
    Returns:
      A set of fingerprints.
    """
    totals = Counter()
    for crash in crashes:
        totals.update(crash.requests)
    return {
        one for one, count in totals.items() if count >= CRASHES_TO_QUARANTINE
    }


@attributions.register('nobody')
def attribute_to_none(_crashes):
    """Return the empty set; a baseline without attribution."""
    return set()


def _group_by_time(crashes):
    """Return lists of simultaneous crashes, in order of time."""
    groups = []
    first_ms = float('-inf')
    for crash in sorted(crashes, key=_get_time):
        if crash.at_ms - first_ms > _SIMULTANEOUS_MS:
            first_ms = crash.at_ms
            groups.append([])
        groups[-1].append(crash)
    return groups


def _count_common(group):
    """Count the crashes of a group for each request present at all of them.

    Args:
      group: Simultaneous crashes in order of time.
    Returns:
      A Counter of fingerprints.
    """
    common = set.intersection(*(crash.requests for crash in group))
    return Counter({one: _count_crashes(one, group) for one in common})


def _count_crashes(fingerprint, group):
    """Count the separate crashes that a request met within a group.

    An attempt sent after a crash cannot belong to it, so the crash of its own
    server counts separately, however soon it follows.
    """
    count = 0
    last_ms = float('-inf')
    for crash in group:
        begun_ms = crash.begun_ms.get(fingerprint, float('-inf'))
        if not count or begun_ms > last_ms:
            count += 1
            last_ms = crash.at_ms
    return count


def _find_culprit(requests, totals):
    """Return the only plausible cause of a group of crashes, or None."""
    ranked = sorted(requests, key=totals.__getitem__, reverse=True)
    if not ranked:
        return None
    first, *others = ranked
    limit = totals[first] - _MIN_MARGIN
    return first if all(totals[one] <= limit for one in others) else None


def _get_time(crash):
    return crash.at_ms
