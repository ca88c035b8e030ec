"""Ports for the processes of a run, which nothing else takes meanwhile.

A port that the kernel gives out is in the range from which outgoing
connections take theirs, so one of those can take it before the process that it
is meant for.  Ports are taken from below that range, and runs side by side
take them from parts of their own.
"""

import itertools
import os
import socket

LOOPBACK = '127.0.0.1'
_FIRST = 12_000
_PARTS = 16
_PART_SIZE = 1_200
#: Processes whose ids follow each other begin so many ports apart.
_STRIDE = 151
_WORKER = 'PYTEST_XDIST_WORKER'


def _choose_part():
    """Return the part of this process: by test worker, or by its id."""
    worker = os.environ.get(_WORKER, '')
    if worker:
        return int(worker.removeprefix('gw')) % (_PARTS // 2)
    return _PARTS // 2 + os.getpid() % (_PARTS // 2)


def _list_part():
    """Return the ports of this process's part, from anywhere in it on.

    Runs side by side may have the same part; where each began at its first
    port, one took ports that the other had picked and not yet used.
    """
    first = _FIRST + _choose_part() * _PART_SIZE
    begin = os.getpid() * _STRIDE % _PART_SIZE
    ports = range(first, first + _PART_SIZE)
    return [*ports[begin:], *ports[:begin]]


_candidates = itertools.cycle(_list_part())


def pick_ports(count):
    """Return free ports of the loopback interface, none of them used lately.

    Args:
      count: How many.
    Returns:
      A list of ints.
    """
    free = filter(_is_free, _candidates)
    return list(itertools.islice(free, count))


def _is_free(port):
    with socket.socket() as sock:
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
