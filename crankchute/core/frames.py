"""Matching the frames of a stream to the attempt that asked for them.

An engine's frames may come late, twice, out of order, cut short, or belong to
somebody else.  A frame counts only if it names this request, this attempt and
the engine incarnation that answered first, and continues at the next offset.
"""

import enum


class Frame:
    """A part of a generated answer, as an engine sent it.

    Attributes:
      request_id: The request it answers.
      attempt: The number of the attempt, an int.
      boot: The engine's incarnation.
      offset: The index of the first token, an int.
      tokens: A list of strings; empty in an end mark.
      count: In an end mark, how many tokens the whole answer has; else None.
    """

    __slots__ = ('attempt', 'boot', 'count', 'offset', 'request_id', 'tokens')

    def __init__(self, request_id, attempt, boot, **body):
        """Create a frame.

        Args:
          request_id: The request it answers.
          attempt: The number of the attempt.
          boot: The engine's incarnation.
          body: `offset`, `tokens` and `count`, see the class.
        """
        self.request_id = request_id
        self.attempt = attempt
        self.boot = boot
        self.offset = body['offset']
        self.tokens = body.get('tokens', [])
        self.count = body.get('count')


class FrameFate(enum.Enum):
    """What becomes of a frame."""

    #: The frame continues the answer.
    TAKEN = enum.auto()
    #: The frame is of another request, attempt or incarnation, or a repeat.
    DROPPED = enum.auto()
    #: Frames are missing before this one; the attempt cannot go on.
    GAP = enum.auto()
    #: The frame is the end mark and agrees with what was taken.
    END = enum.auto()


class FrameMatcher:
    """Follows one attempt's frames.

    Attributes:
      offset: The next offset, which is the number of tokens of the answer so
        far, those of earlier attempts included.
    """

    __slots__ = ('_attempt', '_boot', '_request_id', 'offset')

    def __init__(self, request_id, attempt, offset):
        """Expect an attempt's frames.

        Args:
          request_id: The request's id.
          attempt: The attempt's number.
          offset: How many tokens earlier attempts delivered.
        """
        self._request_id = request_id
        self._attempt = attempt
        self._boot = None
        self.offset = offset

    def match(self, frame):
        """Decide on a frame, and move on if it is taken.

        Args:
          frame: A Frame.
        Returns:
          A FrameFate.
        """
        if not self._is_mine(frame):
            return FrameFate.DROPPED
        if self._boot is None:
            self._boot = frame.boot
        if frame.count is not None:
            return self._match_end(frame)
        if frame.offset == self.offset:
            self.offset += len(frame.tokens)
            return FrameFate.TAKEN
        return (
            FrameFate.DROPPED if frame.offset < self.offset else FrameFate.GAP
        )

    def _is_mine(self, frame):
        mine = (self._request_id, self._attempt)
        if (frame.request_id, frame.attempt) != mine:
            return False
        return self._boot in {None, frame.boot}

    def _match_end(self, frame):
        return FrameFate.END if frame.count == self.offset else FrameFate.GAP
