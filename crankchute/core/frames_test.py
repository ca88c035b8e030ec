"""Tests of matching frames: late, crossed, doubled, missing."""

import pytest

from crankchute.core.frames import Frame, FrameFate, FrameMatcher


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
    ('frame', 'fate'),
    [
        (_frame(2), FrameFate.TAKEN),
        (_frame(2, request_id='x'), FrameFate.DROPPED),
        (_frame(2, attempt=0), FrameFate.DROPPED),
        (_frame(2, boot='other'), FrameFate.DROPPED),
        (_frame(1), FrameFate.DROPPED),
        (_frame(3), FrameFate.GAP),
        (_frame(count=2), FrameFate.END),
        (_frame(count=3), FrameFate.GAP),
        (_frame(count=2, attempt=2), FrameFate.DROPPED),
    ],
)
def test_third_frame(frame, fate):
    """After two tokens only the next frame, or a true end, is taken."""
    matcher = FrameMatcher('r', 1, 0)
    matcher.match(_frame(0))
    matcher.match(_frame(1))
    assert matcher.match(frame) == fate


def test_resumed_attempt_expects_its_offset():
    """An attempt that resumes takes frames from where the last one ended."""
    matcher = FrameMatcher('r', 2, 5)
    assert matcher.match(_frame(5, attempt=2)) == FrameFate.TAKEN
    assert matcher.match(_frame(count=6, attempt=2)) == FrameFate.END
