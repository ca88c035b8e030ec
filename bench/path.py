"""Measures the request path: token gaps, requests a second, cost of a token.

Gaps and costs are compared in one run: through an entry instance against
straight from the engine stand-in.  Run it with `python -m bench.path`.
"""

import os
import socket
import sys
import tempfile
import time
from itertools import repeat
from statistics import median

import orjson

from bench.cluster import LOOPBACK, Cluster, Shape

_TOKENS = 1500
_REQUESTS = 1500
_STREAMS = 24
_READ_SIZE = 65_536
_TICKS = os.sysconf('SC_CLK_TCK')
_HEADERS = (
    ('Crankchute-Account', 'travel-web'),
    ('Crankchute-Class', 'booking'),
    ('Crankchute-Deadline-Ms', '30000'),
)
_PROMPT_HEADERS = (
    ('Crankchute-Account', 'north-terminal'),
    ('Crankchute-Class', 'fares'),
)
_DEADLINE_MS = 50_000


def read_cpu_s(pid):
    """Return the processor time of a process, in seconds.

    Args:
      pid: The id of a process that was started here.
    """
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def build_raw(method, path, headers, document=None):
    """Return the bytes of a request.

    Args:
      method: The HTTP method.
      path: The path.
      headers: Pairs of name and text.
      document: A JSON document, or None.
    """
    body = b'' if document is None else orjson.dumps(document)
    lines = [f'{method} {path} HTTP/1.1', 'Host: bench']
    lines.append(f'Content-Length: {len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    return '\r\n'.join([*lines, '', '']).encode() + body


def build_stream_request(max_tokens, deadline_ms):
    """Return the bytes of a request for a streamed answer to a short prompt.

    Args:
      max_tokens: The answer's length in tokens.
      deadline_ms: Milliseconds in which it must end.
    """
    deadline = ('Crankchute-Deadline-Ms', str(deadline_ms))
    document = {
        'model': 'small',
        'prompt': 'a fare',
        'max_tokens': max_tokens,
        'stream': True,
    }
    headers = (*_PROMPT_HEADERS, deadline)
    return build_raw('POST', '/v1/completions', headers, document)


def stream_times(port, raw):
    """Send a request and return the times at which its events came."""
    times = []
    with socket.create_connection((LOOPBACK, port), timeout=60) as sock:
        sock.sendall(raw)
        seen = b''
        while b'0\r\n\r\n' not in seen[-64:]:
            chunk = sock.recv(_READ_SIZE)
            if not chunk:
                break
            now = time.perf_counter()
            times.extend(repeat(now, chunk.count(b'data: ')))
            seen = chunk
    return times


def measure_gaps(cluster):
    """Compare gaps between tokens through an entry and straight.

    Args:
      cluster: A Cluster.
    Returns:
      A map of figures; times in milliseconds.
    """
    direct = build_raw(
        'POST',
        '/v1/generate',
        (),
        {
            'request_id': 'bench',
            'attempt': 1,
            'model': 'small',
            'prompt': 'a fare',
            'max_tokens': _TOKENS,
            'offset': 0,
            'priority': 0,
            'deadline_ms': 60_000,
        },
    )
    through = build_stream_request(_TOKENS, _DEADLINE_MS)
    straight = _gaps(stream_times(cluster.engines[0].port, direct))
    passed = _gaps(stream_times(cluster.entries[0].port, through))
    return {
        'straight_p50_ms': round(median(straight), 3),
        'through_p50_ms': round(median(passed), 3),
        'straight_p99_ms': round(_percentile(straight, 99), 3),
        'through_p99_ms': round(_percentile(passed, 99), 3),
        'ratio_p50': round(median(passed) / median(straight), 3),
        'ratio_mean': round(sum(passed) / sum(straight), 3),
    }


def measure_requests(cluster):
    """Measure service calls a second through one entry instance.

    Args:
      cluster: A Cluster.
    Returns:
      A map of figures.
    """
    entry = cluster.entries[0]
    raw = build_raw('GET', '/v1/services/booking/bookings', _HEADERS)
    before = read_cpu_s(entry.pid)
    started = time.perf_counter()
    with socket.create_connection((LOOPBACK, entry.port)) as sock:
        for _ in range(_REQUESTS):
            sock.sendall(raw)
            if not sock.recv(_READ_SIZE).endswith(b'}'):
                raise RuntimeError('an answer was cut')
    elapsed = time.perf_counter() - started
    spent = read_cpu_s(entry.pid) - before
    return {
        'calls_per_second': round(_REQUESTS / elapsed),
        'cpu_ms_per_call': round(spent / _REQUESTS * 1000, 3),
    }


def measure_tokens(cluster):
    """Measure the cost of streamed tokens at one entry instance.

    Args:
      cluster: A Cluster.
    Returns:
      A map of figures.
    """
    entry = cluster.entries[0]
    raw = build_stream_request(_TOKENS, _DEADLINE_MS)
    before = read_cpu_s(entry.pid)
    started = time.perf_counter()
    events = _stream_many(entry.port, raw)
    elapsed = time.perf_counter() - started
    spent = read_cpu_s(entry.pid) - before
    count = _STREAMS * _TOKENS
    return {
        'streams': _STREAMS,
        'events': events,
        'tokens': count,
        'tokens_per_second': round(count / elapsed),
        'cpu_us_per_token': round(spent / count * 1_000_000, 1),
        'tokens_per_cpu_second': round(count / spent),
    }


def _stream_many(port, raw):
    address = (LOOPBACK, port)
    socks = [socket.create_connection(address) for _ in range(_STREAMS)]
    for opened in socks:
        opened.sendall(raw)
    return sum(_count_events(sock) for sock in socks)


def main():
    """Run all measurements and print them as JSON."""
    document = {}
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(Shape(entries=1, engines=2), folder) as cluster:
            document['gaps'] = measure_gaps(cluster)
            document['requests'] = measure_requests(cluster)
            document['tokens'] = measure_tokens(cluster)
        for batch in (2, 4):
            flags = [f'--tokens-per-event={batch}']
            shape = Shape(entries=1, engines=2, engine_flags=flags)
            with Cluster(shape, folder) as cluster:
                document[f'tokens_by_{batch}'] = measure_tokens(cluster)
    text = orjson.dumps(document, option=orjson.OPT_INDENT_2).decode()
    print(text)
    return 0


def _count_events(sock):
    count = 0
    tail = b''
    with sock:
        while b'0\r\n\r\n' not in tail:
            chunk = sock.recv(_READ_SIZE)
            if not chunk:
                break
            count += chunk.count(b'"offset"')
            tail = chunk[-64:]
    return count


def _gaps(times):
    pairs = zip(times, times[1:])
    return [(after - before) * 1000 for before, after in pairs]


def _percentile(gaps, percent):
    return sorted(gaps)[int(len(gaps) * percent / 100)]


if __name__ == '__main__':
    sys.exit(main())
