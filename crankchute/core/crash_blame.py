"""Which requests crash the servers that run them.

The load that this answers: a request ends the process of each server that
begins to run it, and its caller, or others with the same client account, send
it again and again.  Each end breaks off all other requests in progress there,
a handful, and those are sent again as well, often to the server that the first
one ends next: of thirteen prompts that were broken off in 1.2 s, three met it
twice.  Other servers end at the same time for reasons of their own: one by one,
or many at the same moment.

So the number of servers that ended under a request says little by itself.  A
request is blamed for an end only if no other one that was there may be the
cause, and a request that was answered since is no cause.
"""

from collections import Counter

from crankchute.core.registry import Registry

#: Ways to blame requests, by name: functions of Crashes that return the
#: fingerprints of the requests that crash what runs them.
blames = Registry()
#: The name of the one that decides; the others are there to compare.
BY_LEAD = 'lead'
#: A request is held once it is blamed for the ends of so many servers.  Their
#: users let three more servers be reached after the third end, so one memory
#: of it may be lost (all instances lose power) without breaking that.
CRASHES_TO_HOLD = 3
#: Every other request that was there must have met so many ends fewer: one that
#: rides along meets two of three, and one that meets another end besides would
#: be taken for the cause of all three.
_LEAD = 2
#: Servers whose ends are noticed within this time of the first ended for one
#: reason: a rack that loses power ends them within a millisecond, and a busy
#: instance notices some milliseconds later.  Ends by one request were 38 to
#: 1,000 ms apart (48 of them).  It counts from the first since a request that
#: ends servers at once, as fast as they are asked, would count for one end
#: however many it is (12 of 12 engines ended in a test); and attempts that were
#: sent one after the other are ends of their own within it.
_TOGETHER_MS = 20


@blames.register(BY_LEAD)
def find_culprits(crashes):
    """Return the requests that must have caused the ends of servers.

    Args:
      crashes: An iterable of Crash.
    Returns:
      A set of fingerprints.
    """
    suspects = [_count_common(group) for group in _group_by_time(crashes)]
    met = Counter()
    for ends in suspects:
        met.update(ends)
    blamed = Counter()
    for ends in suspects:
        culprit = _find_culprit(ends, met)
        if culprit is not None:
            blamed[culprit] += ends[culprit]
    return {one for one, count in blamed.items() if count >= CRASHES_TO_HOLD}


@blames.register('presence')
def find_present(crashes):
    """Return the requests that were there often enough; a baseline.

    Args:
      crashes: An iterable of Crash.
    Returns:
      A set of fingerprints.
    """
    met = Counter()
    for crash in crashes:
        met.update(crash.requests)
    return {one for one, count in met.items() if count >= CRASHES_TO_HOLD}


@blames.register('nobody')
def find_nobody(_crashes):
    """Return no request, as if nothing were remembered; a baseline."""
    return set()


def _group_by_time(crashes):
    """Return lists of the crashes that came together, in order."""
    groups = []
    first_ms = float('-inf')
    for crash in sorted(crashes, key=_time_of):
        if crash.at_ms - first_ms > _TOGETHER_MS:
            first_ms = crash.at_ms
            groups.append([])
        groups[-1].append(crash)
    return groups


def _count_common(group):
    """Return how many ends a group is for those who were at each of them.

    Args:
      group: Crashes in the order of their times.
    Returns:
      A Counter of fingerprints.
    """
    common = set.intersection(*(crash.requests for crash in group))
    return Counter({one: _count_ends(one, group) for one in common})


def _count_ends(fingerprint, group):
    """Return how many ends in a row a request met.

    An attempt that was sent after an end is no part of it, however soon it
    ended its own server; without that, a request that ends servers within 20 ms
    ended 7 or 8 of 12 after all knew of the third, and not at most three.
    """
    ends = 0
    last_ms = float('-inf')
    for crash in group:
        begun_ms = crash.begun_ms.get(fingerprint, float('-inf'))
        if not ends or begun_ms > last_ms:
            ends += 1
            last_ms = crash.at_ms
    return ends


def _find_culprit(requests, met):
    """Return the only request that may have caused an end, or None."""
    ranked = sorted(requests, key=met.__getitem__, reverse=True)
    if not ranked:
        return None
    first, *others = ranked
    most_met = met[first] - _LEAD
    return first if all(met[one] <= most_met for one in others) else None


def _time_of(crash):
    return crash.at_ms
