"""`make demo`: the whole path on loopback, as separate processes.

Three data centres, six entry instances, six engines and a plain service.
Prompts of several lengths, one over a single engine's memory, and bookings
are sent, with one line for each.
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
#: Account, class, and prompt length in tokens.
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


class Tally:
    """What was asked and what came of it."""

    def __init__(self):
        """Create an empty tally."""
        self.asked = 0
        self.whole = 0
        self.lost = 0
        self.keys = []

    def note(self, *, is_whole):
        """Count one request."""
        self.asked += 1
        self.whole += is_whole
        self.lost += not is_whole


def run_demo(log_dir):
    """Run the demonstration.

    Args:
      log_dir: A folder for the processes' output.
    Returns:
      The exit code.
    """
    started = time.monotonic()
    with Cluster(Shape(), log_dir) as cluster:
        waited = time.monotonic() - started
        print(f'18 processes serve after {waited:.1f} s')
        tally = Tally()
        for account, workload, tokens in _PROMPTS:
            _send_prompt(cluster, tally, account, workload, tokens)
        for seat in range(_BOOKINGS):
            _send_booking(cluster, tally, seat)
        twice = _count_twice(cluster, tally.keys)
    print(
        f'demo: {tally.asked} asked, {tally.whole} answered whole, '
        f'{tally.lost} lost, {twice} run twice',
    )
    return 1 if tally.lost or twice else 0


def _send_prompt(cluster, tally, account, workload, tokens):
    prompt = make_prompt(tokens, seed=tokens)
    options = CallOptions(
        workload,
        _DEADLINE_MS,
        model=_MODEL,
        max_tokens=_MAX_TOKENS,
    )
    end = Session(cluster.seeds, account).complete(prompt, options)
    wanted = expected_answer(_MODEL, prompt.encode(), _MAX_TOKENS)
    is_whole = end.is_ok and end.text == wanted
    tally.note(is_whole=is_whole)
    verdict = 'whole' if is_whole else f'{end.outcome.value} {end.code}'
    first_ms = end.first_token_ms or 0
    print(
        f'{workload:12} {tokens:>9,} tokens  first token {first_ms:8.0f} ms'
        f'  {end.tokens} tokens in {end.total_ms:8.0f} ms  {verdict}',
    )


def _send_booking(cluster, tally, seat):
    body = orjson.dumps({'seat': seat})
    request = ServiceRequest('booking', 'POST', '/bookings', body)
    options = CallOptions('booking', _DEADLINE_MS)
    end = Session(cluster.seeds, 'travel-web').call_service(request, options)
    tally.note(is_whole=end.is_ok)
    tally.keys.append(end.key)
    verdict = 'done' if end.is_ok else f'{end.outcome.value} {end.code}'
    print(
        f'booking      seat {seat}  answer in {end.total_ms:8.0f} ms  {verdict}'
    )


def _count_twice(cluster, keys):
    counts = [
        service.fetch('GET', '/admin/counts')[1] for service in cluster.services
    ]
    runs = [sum(count.get(key, 0) for count in counts) for key in keys]
    return len([count for count in runs if count > 1])


if __name__ == '__main__':
    with tempfile.TemporaryDirectory() as folder:
        sys.exit(run_demo(folder))
