"""What the scenarios share: their registry, verdicts, and raw requests."""

import socket

from bench.cluster import LOOPBACK, Shape
from bench.path import build_stream_request
from bench.storm import find_broken, find_late, wait_memory_free
from crankchute.core.registry import Registry

scenarios = Registry()
LONG_PROMPT = 'long prompt loses a member'
_READ_SIZE = 65_536
_LAST_CHUNK = b'0\r\n\r\n'


class Verdict:
    """What a scenario found.

    Attributes:
      broken: Sentences that say how the promise was broken, a list.
      late: Sentences that say what took too long, a list; tests leave them
        out, since their verdict must not depend on the machine's speed.
      figure: A sentence with what was measured.
    """

    __slots__ = ('broken', 'figure', 'late')

    def __init__(self, broken, figure):
        """Create the verdict.

        Args:
          broken: A list of strings.
          figure: A string.
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


def judge(cluster, asked):
    """Return the verdict on a storm, and on what engines still hold.

    Args:
      cluster: A Cluster.
      asked: The storm's Asked records.
    """
    broken = find_broken(asked, cluster)
    try:
        wait_memory_free(cluster)
    except TimeoutError:
        broken.append('an engine kept memory')
    whole = len([record for record in asked if record.is_whole])
    verdict = Verdict(broken, f'{len(asked)} asked, {whole} answered whole')
    verdict.late.extend(find_late(asked))
    return verdict


def vanish(entry):
    """Ask for a long answer and go away without reading it."""
    raw = build_stream_request(9000, 50_000)
    with socket.create_connection((LOOPBACK, entry.port)) as sock:
        sock.sendall(raw)
        sock.recv(64)


def read_pending(sock):
    """Read what has come so far from a socket that does not block.

    Args:
      sock: A socket.
    """
    pending = True
    while pending:
        try:
            pending = sock.recv(_READ_SIZE)
        except BlockingIOError:
            pending = False


def read_to_end(sock):
    """Return a chunked response's bytes up to its end.

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
