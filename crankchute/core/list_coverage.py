"""What a list of published entries asserts about the history of the store.

A list that was replaced as a whole lacks the deletions of entries that it never
had.  An instance whose list is of that time and that gets changes from it would
keep those entries, so it must get the whole list instead.
"""

#: How many spans are kept.
_MAX_SPANS = 16


class ListCoverage:
    """The part of the history that a list covers.

    Revisions are positions in the history: those after the store was restored
    from an older copy are higher than all before.

    Attributes:
      revision: The list reflects all changes up to it; 0 if it was never read.
      spans: Pairs of the first and the last revision of lists that can be
        updated by changes from this one, in ascending order.  This list was
        continuously up to date during the last span, which ends at its
        revision.
    """

    __slots__ = ('revision', 'spans')

    def __init__(self, revision=0, spans=()):
        """Create the record; by default that of a list that was never read.

        Args:
          revision: See the class.
          spans: See the class.
        """
        self.revision = revision
        self.spans = spans

    @property
    def deletions_since(self):
        """The start of the last span, or the revision without one."""
        return self.spans[-1][0] if self.spans else self.revision

    def can_update(self, revision):
        """Return whether changes since a revision include all deletions.

        Args:
          revision: The revision of another list, lower than that of this one.
        """
        return any(first <= revision <= last for first, last in self.spans)

    def join(self, changes):
        """Return the coverage after changes or a newer whole list.

        Changes from another instance may lack deletions of entries that were
        added after this list: those that the other instance never had.

        Args:
          changes: A ChangeSet that was applied to this list.
        """
        first = changes.deletions_since
        spans = list(self.spans)
        while spans and first <= spans[-1][1]:
            first = min(first, spans.pop()[0])
        spans.append((first, changes.revision))
        return ListCoverage(changes.revision, tuple(spans[-_MAX_SPANS:]))

    def discard_until(self, revision):
        """Return the coverage after deletions up to a revision are discarded.

        Args:
          revision: The revision of the newest of these deletions.
        """
        spans = tuple(
            (max(first, revision), last)
            for first, last in self.spans
            if last >= revision
        )
        return ListCoverage(self.revision, spans)
