"""Tests for splitting a byte stream into server-sent events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankchute.core.event_stream import EventSplitter, parse_event_id

STREAM = (
    b'id: 1\ndata: a\n\n'
    b'versions: 2\nid: 2\ndata: b\ndata: c\n\n'
    b'data: no id\n\n'
    b'id: 3\r\ndata: d\r\n\r\n'
)


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_do_not_depend_on_chunk_boundaries(cuts):
    splitter = EventSplitter()
    offsets = sorted({0, len(STREAM), *cuts})
    events = []
    for start, end in zip(offsets, offsets[1:]):
        events.extend(splitter.feed(STREAM[start:end]))
    assert [event.number for event in events] == [1, 2, None, 3]
    assert b''.join(event.payload for event in events) == STREAM
    assert not splitter.has_partial_event


def test_incomplete_event_is_buffered():
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: half') == []
    assert splitter.has_partial_event


@pytest.mark.parametrize(
    ('payload', 'number'),
    [
        (b'id: 12\ndata: x\n\n', 12),
        (b'id:7\ndata: x\n\n', 7),
        (b'data: id: 5\n\n', None),
        (b'id: x\n\n', None),
        (b'data: x\nid: 9\n\n', 9),
    ],
)
def test_parse_event_id(payload, number):
    assert parse_event_id(payload) == number
