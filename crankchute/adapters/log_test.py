"""Tests of the log's rate limits and of slow or closed readers."""

import os
from contextlib import contextmanager

import orjson
import pytest

from crankchute.adapters.log import (
    FAILURES_PER_S,
    LINES_PER_S,
    RateLimitedLog,
    LineWriter,
)

_PIPE_BYTES = 65_536


class LogHarness:
    """A log that writes to a pipe, with a manual clock."""

    def __init__(self, write_fd):
        self.now_s = 0
        self.writer = LineWriter(write_fd)
        self.log = RateLimitedLog(self.writer, lambda: self.now_s)

    def write_lines(self, count, **fields):
        for number in range(count):
            message = {'message_type': 'crankchute:x', 'number': number}
            self.log({**message, **fields})


@contextmanager
def open_log():
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    try:
        yield LogHarness(write_fd), read_fd
    finally:
        os.close(read_fd)
        os.close(write_fd)


def read_bytes(read_fd):
    try:
        return os.read(read_fd, _PIPE_BYTES)
    except BlockingIOError:
        return b''


def read_lines(read_fd):
    return [orjson.loads(line) for line in read_bytes(read_fd).splitlines()]


def read_all(harness, read_fd):
    """Flush and read until the buffer and the pipe are empty."""
    parts = [b'']
    while len(parts) < 2 or parts[-1]:
        harness.writer.flush()
        parts.append(read_bytes(read_fd))
    return [orjson.loads(line) for line in b''.join(parts).splitlines()]


@pytest.mark.parametrize(
    ('failed', 'allowed'),
    [(False, LINES_PER_S), (True, FAILURES_PER_S)],
)
def test_lines_of_each_kind_are_rate_limited(failed, allowed):
    with open_log() as (harness, read_fd):
        harness.write_lines(1000, failed=failed)
        assert len(read_lines(read_fd)) == allowed
        harness.now_s = 1
        harness.write_lines(1, failed=failed)
        summary, line = read_lines(read_fd)
        assert summary['omitted'] == {'crankchute:x': 1000 - allowed}
        assert line['number'] == 0


def test_failures_are_written_when_successes_are_omitted():
    with open_log() as (harness, read_fd):
        harness.write_lines(LINES_PER_S + 50)
        harness.write_lines(5, failed=True)
        lines = read_lines(read_fd)
        assert sum(bool(line.get('failed')) for line in lines) == 5


def test_stalled_reader_causes_dropped_lines():
    with open_log() as (harness, read_fd):
        for _ in range(100):
            harness.now_s += 1
            harness.write_lines(LINES_PER_S, text='y' * 200)
        assert harness.writer.dropped > 0
        harness.now_s += 1
        lines = read_all(harness, read_fd)
        assert 0 < len(lines) < 100 * LINES_PER_S
        harness.write_lines(1)
        lines.extend(read_all(harness, read_fd))
        unread = [line.get('unread', 0) for line in lines]
        assert sum(unread) == harness.writer.dropped


def test_closed_reader_causes_dropped_lines():
    read_fd, write_fd = os.pipe()
    harness = LogHarness(write_fd)
    os.close(read_fd)
    harness.write_lines(10)
    os.close(write_fd)
    assert harness.writer.dropped == 10
