"""Matches the frames of a token stream to the attempt that requested them.

Frames may arrive late, duplicated, out of order or truncated, or belong to
another request.  A frame is accepted only if it names this request, this
attempt and the engine incarnation of the first frame, and starts at the next
expected offset.
"""

import enum


class Frame:
    """Part of a generated answer, as received from an engine.

    Attributes:
      request_id: The id of the request.
      attempt: The attempt number, an int.
      boot: The engine's incarnation id.
      offset: The index of the first token, an int.
      tokens: A list of strings; empty in an end frame.
      count: In an end frame, the number of tokens of the whole answer; else
        None.
    """

    __slots__ = ('attempt', 'boot', 'count', 'offset', 'request_id', 'tokens')

    def __init__(self, request_id, attempt, boot, **body):
        """Create a frame.

        Args:
          request_id: The id of the request.
          attempt: The attempt number.
          boot: The engine's incarnation id.
          body: `offset`, and optionally `tokens` and `count`; see the class.
        """
        self.request_id = request_id
        self.attempt = attempt
        self.boot = boot
        self.offset = body['offset']
        self.tokens = body.get('tokens', [])
        self.count = body.get('count')


class FrameMatch(enum.Enum):
    """The result of matching a frame."""

    #: The frame continues the answer.
    ACCEPTED = enum.auto()
    #: The frame is a duplicate, or of another request, attempt or incarnation.
    DROPPED = enum.auto()
    #: Frames before this one are missing; the attempt cannot continue.
    GAP = enum.auto()
    #: The frame is the end frame, and its count matches the accepted tokens.
    END = enum.auto()


class FrameMatcher:
    """Tracks the frames of one attempt.

    Attributes:
      offset: The next expected offset, which is the number of tokens received
        so far, including those of earlier attempts.
    """

    __slots__ = ('_attempt', '_boot', '_request_id', 'offset')

    def __init__(self, request_id, attempt, offset):
        """Create a matcher.

        Args:
          request_id: The request's id.
          attempt: The attempt number.
          offset: The number of tokens that earlier attempts delivered.
        """
        self._request_id = request_id
        self._attempt = attempt
        self._boot = None
        self.offset = offset

    def match(self, frame):
        """Classify a frame, and advance the offset if it is accepted.

        Args:
          frame: A Frame.
        Returns:
          A FrameMatch.
        """
        if not self._belongs(frame):
            return FrameMatch.DROPPED
        if self._boot is None:
            self._boot = frame.boot
        if frame.count is not None:
            return self._match_end(frame)
        if frame.offset == self.offset:
            self.offset += len(frame.tokens)
            return FrameMatch.ACCEPTED
        return (
            FrameMatch.DROPPED if frame.offset < self.offset else FrameMatch.GAP
        )

    def _belongs(self, frame):
        expected = (self._request_id, self._attempt)
        if (frame.request_id, frame.attempt) != expected:
            return False
        return self._boot in {None, frame.boot}

    def _match_end(self, frame):
        return FrameMatch.END if frame.count == self.offset else FrameMatch.GAP
