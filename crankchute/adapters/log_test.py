"""Tests of logs under a flood and with a reader that stops."""

import os
from contextlib import contextmanager

import orjson
import pytest

from crankchute.adapters.log import (
    FAILURES_PER_S,
    LINES_PER_S,
    BoundedLog,
    LineWriter,
)

_PIPE_BYTES = 65_536


class World:
    """A log into a pipe, and a clock that a test moves."""

    def __init__(self, write_fd):
        self.now_s = 0
        self.writer = LineWriter(write_fd)
        self.log = BoundedLog(self.writer, lambda: self.now_s)

    def flood(self, count, **fields):
        for number in range(count):
            message = {'message_type': 'crankchute:x', 'number': number}
            self.log({**message, **fields})


@contextmanager
def open_world():
    read_fd, write_fd = os.pipe()
    os.set_blocking(read_fd, False)
    try:
        yield World(write_fd), read_fd
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


def read_all(world, read_fd):
    """Read until nothing is kept back any more."""
    parts = [b'']
    while len(parts) < 2 or parts[-1]:
        world.writer.flush()
        parts.append(read_bytes(read_fd))
    return [orjson.loads(line) for line in b''.join(parts).splitlines()]


@pytest.mark.parametrize(
    ('failed', 'allowed'),
    [(False, LINES_PER_S), (True, FAILURES_PER_S)],
)
def test_each_kind_is_kept_to_its_rate(failed, allowed):
    with open_world() as (world, read_fd):
        world.flood(1000, failed=failed)
        assert len(read_lines(read_fd)) == allowed
        world.now_s = 1
        world.flood(1, failed=failed)
        summary, line = read_lines(read_fd)
        assert summary['omitted'] == {'crankchute:x': 1000 - allowed}
        assert line['number'] == 0


def test_failures_are_written_when_successes_are_left_out():
    with open_world() as (world, read_fd):
        world.flood(LINES_PER_S + 50)
        world.flood(5, failed=True)
        lines = read_lines(read_fd)
        assert sum(bool(line.get('failed')) for line in lines) == 5


def test_reader_that_stops_costs_lines_and_not_time():
    with open_world() as (world, read_fd):
        for _ in range(100):
            world.now_s += 1
            world.flood(LINES_PER_S, text='y' * 200)
        assert world.writer.dropped > 0
        world.now_s += 1
        lines = read_all(world, read_fd)
        assert 0 < len(lines) < 100 * LINES_PER_S
        world.flood(1)
        lines.extend(read_all(world, read_fd))
        unread = [line.get('unread', 0) for line in lines]
        assert sum(unread) == world.writer.dropped


def test_reader_that_is_gone_does_no_harm():
    read_fd, write_fd = os.pipe()
    world = World(write_fd)
    os.close(read_fd)
    world.flood(10)
    os.close(write_fd)
    assert world.writer.dropped == 10
