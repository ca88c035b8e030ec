"""`make demo`: a complete cluster on loopback, as separate processes.

Starts six entry instances in three data centres, six engines and one service.
Sends bookings and prompts of several lengths, one of them too long for the
memory of a single engine, and prints a line for each.
"""

import sys
import tempfile
import time

import orjson

from bench.cluster import Cluster, Shape
from crankchute.load.mix import make_prompt
from crankchute.client.caller import CallOptions
from crankchute.client.service_call import ServiceRequest
from crankchute.client.session import Session
from crankchute.standins.engine_model import expected_answer

_MODEL = 'small'
_MAX_TOKENS = 24
_DEADLINE_MS = 45_000
_BOOKINGS = 6
#: Client account, request class, and prompt length in tokens.
_PROMPTS = (
    ('north-terminal', 'fares', 1_000),
    ('south-terminal', 'fares', 1_500),
    ('harbour-terminal', 'fares', 4_000),
    ('dispatch-north', 'manifests', 12_000),
    ('dispatch-south', 'manifests', 60_000),
    ('dispatch-north', 'manifests', 250_000),
    ('audit-desk', 'complaints', 1_000_000),
    ('north-terminal', 'fares', 1_200),
)


class ResultCounts:
    """Counts of requests by result.

    Attributes:
      sent: The number of requests sent.
      complete: The number that got a complete answer.
      failed: The number of the others.
      booking_keys: The request keys of the bookings, a list.
    """

    def __init__(self):
        """Create counts of zero."""
        self.sent = 0
        self.complete = 0
        self.failed = 0
        self.booking_keys = []

    def record(self, *, is_complete):
        """Count a request.

        Args:
          is_complete: Whether it got a complete answer, a bool.
        """
        self.sent += 1
        self.complete += is_complete
        self.failed += not is_complete


def run_demo(log_dir):
    """Run the demonstration.

    Args:
      log_dir: The directory of the log files.
    Returns:
      The exit code, 1 if a request failed or a booking was run twice.
    """
    started = time.monotonic()
    with Cluster(Shape(), log_dir) as cluster:
        startup_s = time.monotonic() - started
        print(f'18 processes serve after {startup_s:.1f} s')
        counts = ResultCounts()
        for account, workload, tokens in _PROMPTS:
            _send_prompt(cluster, counts, account, workload, tokens)
        for seat in range(_BOOKINGS):
            _send_booking(cluster, counts, seat)
        duplicates = _count_duplicates(cluster, counts.booking_keys)
    print(
        f'demo: {counts.sent} asked, {counts.complete} answered whole, '
        f'{counts.failed} lost, {duplicates} run twice',
    )
    return 1 if counts.failed or duplicates else 0


def _send_prompt(cluster, counts, account, workload, tokens):
    prompt = make_prompt(tokens, seed=tokens)
    options = CallOptions(
        workload,
        _DEADLINE_MS,
        model=_MODEL,
        max_tokens=_MAX_TOKENS,
    )
    reply = Session(cluster.seeds, account).complete(prompt, options)
    expected = expected_answer(_MODEL, prompt.encode(), _MAX_TOKENS)
    is_complete = reply.is_ok and reply.text == expected
    counts.record(is_complete=is_complete)
    status = 'whole' if is_complete else f'{reply.outcome.value} {reply.code}'
    first_ms = reply.first_token_ms or 0
    print(
        f'{workload:12} {tokens:>9,} tokens  first token {first_ms:8.0f} ms'
        f'  {reply.tokens} tokens in {reply.total_ms:8.0f} ms  {status}',
    )


def _send_booking(cluster, counts, seat):
    body = orjson.dumps({'seat': seat})
    request = ServiceRequest('booking', 'POST', '/bookings', body)
    options = CallOptions('booking', _DEADLINE_MS)
    reply = Session(cluster.seeds, 'travel-web').call_service(request, options)
    counts.record(is_complete=reply.is_ok)
    counts.booking_keys.append(reply.key)
    status = 'done' if reply.is_ok else f'{reply.outcome.value} {reply.code}'
    print(
        f'booking      seat {seat}  answer in {reply.total_ms:8.0f} ms  {status}'
    )


def _count_duplicates(cluster, keys):
    counts = [
        service.fetch('GET', '/admin/counts')[1] for service in cluster.services
    ]
    runs = [sum(count.get(key, 0) for count in counts) for key in keys]
    return len([count for count in runs if count > 1])


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(run_demo(folder))
