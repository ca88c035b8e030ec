"""Tests for frame matching: late, misrouted, duplicate and missing frames."""

import pytest

from crankchute.core.frames import Frame, FrameMatch, FrameMatcher


def _frame(offset=0, tokens=('a',), **changes):
    fields = {'request_id': 'r', 'attempt': 1, 'boot': 'b', **changes}
    return Frame(
        fields['request_id'],
        fields['attempt'],
        fields['boot'],
        offset=offset,
        tokens=list(tokens),
        count=fields.get('count'),
    )


@pytest.mark.parametrize(
    ('frame', 'expected'),
    [
        (_frame(2), FrameMatch.ACCEPTED),
        (_frame(2, request_id='x'), FrameMatch.DROPPED),
        (_frame(2, attempt=0), FrameMatch.DROPPED),
        (_frame(2, boot='other'), FrameMatch.DROPPED),
        (_frame(1), FrameMatch.DROPPED),
        (_frame(3), FrameMatch.GAP),
        (_frame(count=2), FrameMatch.END),
        (_frame(count=3), FrameMatch.GAP),
        (_frame(count=2, attempt=2), FrameMatch.DROPPED),
    ],
)
def test_match_after_two_tokens(frame, expected):
    """Only the next frame or an end frame with the right count matches."""
    matcher = FrameMatcher('r', 1, 0)
    matcher.match(_frame(0))
    matcher.match(_frame(1))
    assert matcher.match(frame) == expected


def test_resumed_attempt_starts_at_given_offset():
    matcher = FrameMatcher('r', 2, 5)
    assert matcher.match(_frame(5, attempt=2)) == FrameMatch.ACCEPTED
    assert matcher.match(_frame(count=6, attempt=2)) == FrameMatch.END
