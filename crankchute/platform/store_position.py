"""Positions in the history of the platform's store.

The store counts its changes in revisions.  After it is restored from an older
snapshot it assigns the lost revisions again; the era counts these restores.  A
position combines both in one integer, with the era in the upper bits, so that
positions increase over the whole history.
"""

import re

#: Lasts 14 years at 2,400 revisions a second.
_REVISION_BITS = 40
#: Keeps positions within 63 bits, which peer messages can carry.
_ERA_BITS = 23
_ERA = re.compile(r'\s*(\d{1,7})\s*')


def parse_era(text):
    """Return the era in a response header, an int, or None if it is invalid.

    Args:
      text: The text of the header, or None if it is missing.
    """
    match = _ERA.fullmatch(text or '')
    if match is None:
        return None
    era = int(match.group(1))
    return era if era < 1 << _ERA_BITS else None


def make_position(era, revision):
    """Return the position of a revision in an era, an int.

    Args:
      era: An int, 0 if unknown.
      revision: The store's revision, an int.
    """
    return (era << _REVISION_BITS) + revision


def era_of(position):
    """Return the era of a position, an int."""
    return position >> _REVISION_BITS


def revision_of(position):
    """Return the store's own revision of a position, an int."""
    return position & (1 << _REVISION_BITS) - 1
