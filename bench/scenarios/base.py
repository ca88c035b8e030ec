"""The registry of scenarios, their verdicts, and helpers for raw requests."""

import socket

from bench.cluster import LOOPBACK, Shape
from bench.path import build_stream_request
from bench.storm import find_overruns, find_violations, wait_until_idle
from crankchute.core.registry import Registry

scenarios = Registry()
LONG_PROMPT = 'long prompt loses a member'
_READ_SIZE = 65_536
_LAST_CHUNK = b'0\r\n\r\n'


class Verdict:
    """The result of a scenario.

    Attributes:
      broken: A list of violations of the guarantee, as text.
      late: A list of missed time limits, as text; tests ignore them, because
        they depend on the speed of the machine.
      figure: A summary of what was measured.
    """

    __slots__ = ('broken', 'figure', 'late')

    def __init__(self, broken, figure):
        """Create the verdict.

        Args:
          broken: See the class.
          figure: See the class.
        """
        self.broken = broken
        self.figure = figure
        self.late = []


def shape_of(name):
    """Return the Shape of the cluster that a scenario needs.

    Args:
      name: The scenario's name.
    """
    if name == LONG_PROMPT:
        return Shape(entries=3, engines=5)
    return Shape(entries=4, engines=4)


def build_verdict(cluster, records):
    """Return the verdict on a workload after all engines became idle.

    Args:
      cluster: A Cluster.
      records: The CallRecords of the workload.
    """
    broken = find_violations(records, cluster)
    try:
        wait_until_idle(cluster)
    except TimeoutError:
        broken.append('an engine did not release its memory')
    correct = len([record for record in records if record.is_correct])
    verdict = Verdict(
        broken, f'{len(records)} calls, {correct} answered correctly'
    )
    verdict.late.extend(find_overruns(records))
    return verdict


def abandon_request(entry):
    """Request a long answer and disconnect after its first bytes."""
    raw = build_stream_request(9000, 50_000)
    with socket.create_connection((LOOPBACK, entry.port)) as sock:
        sock.sendall(raw)
        sock.recv(64)


def discard_received(sock):
    """Discard what a socket has received so far.

    Args:
      sock: A non-blocking socket.
    """
    has_more = True
    while has_more:
        try:
            has_more = sock.recv(_READ_SIZE)
        except BlockingIOError:
            has_more = False


def read_response(sock):
    """Read a chunked response to its end, or until the peer disconnects.

    Args:
      sock: A socket.
    """
    parts = [b'']
    while not parts[-1].endswith(_LAST_CHUNK):
        part = sock.recv(_READ_SIZE)
        if not part:
            break
        parts.append(part)
    return b''.join(parts)
