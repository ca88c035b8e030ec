"""Attribution of server crashes to the suspects that caused them.

A suspect is a request, or a part of prompts that other requests may share.  A
request that crashes every server it runs on is retried by its client, and a
part comes with ever new requests, so they crash one server after another.  Each
crash also interrupts the unrelated requests in progress there, and their
retries may meet the same cause again.  Servers also crash for other reasons,
alone or many at once.

The number of crashes that a suspect was present at is therefore not enough: a
sound part may be in every prompt.  A suspect is ruled out once a request with
it is answered after a crash.  Suspects that cannot be told apart yet are
blamed together: only a request with all of them certainly has the cause.
"""

from collections import Counter

from crankchute.core.registry import Registry

#: Attribution functions by name.  Each takes crashes and returns a map from
#: sets of suspects, one of which is the cause, to the number of crashes.
attributions = Registry()
#: The name of the function in use; the others are baselines for comparison.
BY_COMMON_CAUSE = 'common'
#: Suspects are quarantined once this many crashes are attributed to them.
#: Users accept three more crashes after the third of a request, so one loss of
#: the history (all instances lose power) stays within that.
CRASHES_TO_QUARANTINE = 3
#: A suspect is ruled out as the cause of another one's crashes if it was
#: missing at this many of them.  With a margin of one, a bystander that meets
#: one unrelated crash as well would be blamed for all of them.
_MIN_MARGIN = 2
#: Crashes noticed within this time of the first one count as simultaneous: a
#: rack that loses power stops its servers within a millisecond, and a busy
#: instance notices some milliseconds later.  Crashes by successive attempts of
#: one request are usually further apart.  The window is not extended by later
#: crashes, because a request that crashes servers as fast as it is sent would
#: then count for a single crash.
_SIMULTANEOUS_MS = 20


@attributions.register(BY_COMMON_CAUSE)
def attribute_to_common_cause(crashes, ignored=()):
    """Attribute crashes to suspects that they have in common.

    Args:
      crashes: An iterable of Crash.
      ignored: Fingerprints of suspects that are no cause.
    Returns:
      A map from frozensets of fingerprints to numbers of crashes.
    """
    groups = _find_plausible_causes(crashes, ignored)
    frequent = _keep_frequent(_sum_counts(groups))
    culprits = {_find_inseparable(one, groups) for one in frequent}
    counts = {one: _count_explained(one, groups) for one in culprits}
    return _keep_frequent(counts)


@attributions.register('lead')
def attribute_by_lead(crashes, ignored=()):
    """Attribute crashes to single suspects only; a baseline.

    Args:
      crashes: An iterable of Crash.
      ignored: Fingerprints of suspects that are no cause.
    Returns:
      A map from frozensets of one fingerprint to numbers of crashes.
    """
    counts = Counter()
    for group in _find_plausible_causes(crashes, ignored):
        if len(group) == 1:
            counts.update({frozenset(group): sum(group.values())})
    return _keep_frequent(counts)


@attributions.register('presence')
def attribute_to_all_present(crashes, ignored=()):
    """Attribute crashes to each suspect that was present; a baseline.

    Args:
      crashes: An iterable of Crash.
      ignored: Fingerprints of suspects that are no cause.
    Returns:
      A map from frozensets of one fingerprint to numbers of crashes.
    """
    totals = Counter()
    for crash in crashes:
        suspects = crash.suspects.difference(ignored)
        totals.update(frozenset((one,)) for one in suspects)
    return _keep_frequent(totals)


@attributions.register('nobody')
def attribute_to_none(_crashes, _ignored=()):
    """Return an empty map; a baseline without attribution."""
    return {}


def _keep_frequent(counts):
    return {
        one: count
        for one, count in counts.items()
        if count >= CRASHES_TO_QUARANTINE
    }


def _find_plausible_causes(crashes, ignored):
    """Return the plausible causes of each group of simultaneous crashes.

    Args:
      crashes: An iterable of Crash.
      ignored: Fingerprints of suspects that are no cause.
    Returns:
      A list of Counters from fingerprint to the crashes of the group.
    """
    groups = [
        _count_common(group, ignored) for group in group_simultaneous(crashes)
    ]
    totals = _sum_counts(groups)
    return [_keep_plausible(counts, totals) for counts in groups]


def _sum_counts(groups):
    totals = Counter()
    for counts in groups:
        totals.update(counts)
    return totals


def _keep_plausible(counts, totals):
    """Return the suspects of a group that others do not lead by the margin.

    Args:
      counts: A Counter of the group's crashes by suspect.
      totals: A Counter of all crashes by suspect.
    """
    most = max(map(totals.__getitem__, counts), default=0)
    return Counter(
        {
            one: count
            for one, count in counts.items()
            if totals[one] > most - _MIN_MARGIN
        }
    )


def _find_inseparable(suspect, groups):
    """Return the suspects that may have caused the crashes of another one.

    Args:
      suspect: A fingerprint.
      groups: Counters of the plausible causes of each group of crashes.
    Returns:
      A frozenset of fingerprints, that of the suspect among them.
    """
    shared = Counter()
    for group in groups:
        limit = group[suspect]
        if limit:
            shared.update({one: min(group[one], limit) for one in group})
    return frozenset(
        one
        for one, count in shared.items()
        if count > shared[suspect] - _MIN_MARGIN
    )


def _count_explained(culprits, groups):
    """Count the crashes that have no plausible cause outside a set.

    Args:
      culprits: A frozenset of fingerprints.
      groups: Counters of the plausible causes of each group of crashes.
    """
    return sum(
        max(counts.values())
        for counts in groups
        if counts and counts.keys() <= culprits
    )


def group_simultaneous(crashes):
    """Return lists of simultaneous crashes, in order of time.

    Args:
      crashes: An iterable of Crash.
    """
    groups = []
    first_ms = float('-inf')
    for crash in sorted(crashes, key=_get_time):
        if crash.at_ms - first_ms > _SIMULTANEOUS_MS:
            first_ms = crash.at_ms
            groups.append([])
        groups[-1].append(crash)
    return groups


def _count_common(group, ignored):
    """Count the crashes of a group for each suspect present at all of them.

    Args:
      group: Simultaneous crashes in order of time.
      ignored: Fingerprints of suspects that are no cause.
    Returns:
      A Counter of fingerprints.
    """
    common = set.intersection(*(crash.suspects for crash in group))
    common.difference_update(ignored)
    if len(group) == 1:
        return Counter(common)
    return Counter({one: _count_crashes(one, group) for one in common})


def _count_crashes(fingerprint, group):
    """Count the separate crashes that a suspect met within a group.

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


def _get_time(crash):
    return crash.at_ms
