"""Where the store is in its history: how often it came back, and a revision.

A store that comes back from an older copy gives revisions out again.  A position
is one number that rises all the same, since the era goes before the revision, so
that whoever compares revisions may compare positions.
"""

import re

#: A busy store of 2,900 servers counts 2,400 revisions a second: this many bits
#: last 14 years.
_REVISION_BITS = 40
#: A position must fit into 63 bits, to be told to others.
_ERA_BITS = 23
_ERA = re.compile(r'\s*(\d{1,7})\s*')


def read_era(text):
    """Return the era that an answer of the store tells, an int, or None.

    Args:
      text: The header's text, or None where the store tells none.
    """
    found = _ERA.fullmatch(text or '')
    if found is None:
        return None
    era = int(found.group(1))
    return era if era < 1 << _ERA_BITS else None


def make_position(era, revision):
    """Return the position of a revision in an era, an int.

    Args:
      era: An int; 0 where the store tells none.
      revision: The store's revision, an int.
    """
    return (era << _REVISION_BITS) + revision


def era_of(position):
    """Return the era of a position, an int."""
    return position >> _REVISION_BITS


def revision_of(position):
    """Return the store's own revision of a position, an int."""
    return position & (1 << _REVISION_BITS) - 1
