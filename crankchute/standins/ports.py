"""Allocates TCP ports for the processes of a test run.

Ports come from below the ephemeral range, so that no outgoing connection can
take one before the server binds it.  Parallel runs use different subranges.
"""

import itertools
import os
import socket

LOOPBACK = '127.0.0.1'
_FIRST_PORT = 12_000
_SUBRANGES = 16
_SUBRANGE_SIZE = 1_200
#: Distance between the first ports of processes with consecutive ids.
_PROCESS_STRIDE = 151
_WORKER_VARIABLE = 'PYTEST_XDIST_WORKER'


def _choose_subrange():
    """Return the index of the subrange, from the test worker or process id."""
    worker = os.environ.get(_WORKER_VARIABLE, '')
    if worker:
        return int(worker.removeprefix('gw')) % (_SUBRANGES // 2)
    return _SUBRANGES // 2 + os.getpid() % (_SUBRANGES // 2)


def _list_subrange():
    """Return the ports of the subrange, rotated by process id.

    Parallel runs may share a subrange; different first ports keep them from
    picking a port that another run has picked but not yet bound.
    """
    first_port = _FIRST_PORT + _choose_subrange() * _SUBRANGE_SIZE
    offset = os.getpid() * _PROCESS_STRIDE % _SUBRANGE_SIZE
    ports = range(first_port, first_port + _SUBRANGE_SIZE)
    return [*ports[offset:], *ports[:offset]]


_candidates = itertools.cycle(_list_subrange())


def pick_ports(count):
    """Return free ports of the loopback interface.

    A port is reused only after all others of the subrange were tried.

    Args:
      count: The number of ports.
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
