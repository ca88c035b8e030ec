"""Measures the request path: inter-token latency, throughput, CPU per token.

Inter-token latency through an entry instance is compared in the same run with
that of a direct connection to the engine stand-in.  Run it with
`python -m bench.path`.
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

_TOKEN_COUNT = 1500
_REQUEST_COUNT = 1500
_STREAM_COUNT = 24
_READ_SIZE = 65_536
_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
_BOOKING_HEADERS = (
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
    """Return the CPU time that a process has used, in seconds.

    Args:
      pid: The id of a process on this machine.
    """
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_SECOND


def build_raw(method, path, headers, document=None):
    """Return the bytes of an HTTP request.

    Args:
      method: The HTTP method.
      path: The path.
      headers: Pairs of name and value.
      document: A JSON document, or None.
    """
    body = b'' if document is None else orjson.dumps(document)
    lines = [f'{method} {path} HTTP/1.1', 'Host: bench']
    lines.append(f'Content-Length: {len(body)}')
    lines.extend(f'{name}: {text}' for name, text in headers)
    return '\r\n'.join([*lines, '', '']).encode() + body


def build_stream_request(max_tokens, deadline_ms):
    """Return the bytes of a streaming completion request with a short prompt.

    Args:
      max_tokens: The length of the answer in tokens.
      deadline_ms: The deadline in milliseconds from now.
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


def measure_event_times(port, raw):
    """Send a request and return the arrival times of its events in seconds."""
    times = []
    with socket.create_connection((LOOPBACK, port), timeout=60) as sock:
        sock.sendall(raw)
        last_chunk = b''
        while b'0\r\n\r\n' not in last_chunk[-64:]:
            chunk = sock.recv(_READ_SIZE)
            if not chunk:
                break
            now = time.perf_counter()
            times.extend(repeat(now, chunk.count(b'data: ')))
            last_chunk = chunk
    return times


def measure_gaps(cluster):
    """Compare inter-token latency through an entry instance and direct.

    Args:
      cluster: A Cluster.
    Returns:
      A map of measurements; times in milliseconds.
    """
    direct_request = build_raw(
        'POST',
        '/v1/generate',
        (),
        {
            'request_id': 'bench',
            'attempt': 1,
            'model': 'small',
            'prompt': 'a fare',
            'max_tokens': _TOKEN_COUNT,
            'offset': 0,
            'priority': 0,
            'deadline_ms': 60_000,
        },
    )
    entry_request = build_stream_request(_TOKEN_COUNT, _DEADLINE_MS)
    direct_gaps = _compute_gaps(
        measure_event_times(cluster.engines[0].port, direct_request)
    )
    entry_gaps = _compute_gaps(
        measure_event_times(cluster.entries[0].port, entry_request)
    )
    return {
        'straight_p50_ms': round(median(direct_gaps), 3),
        'through_p50_ms': round(median(entry_gaps), 3),
        'straight_p99_ms': round(_percentile(direct_gaps, 99), 3),
        'through_p99_ms': round(_percentile(entry_gaps, 99), 3),
        'ratio_p50': round(median(entry_gaps) / median(direct_gaps), 3),
        'ratio_mean': round(sum(entry_gaps) / sum(direct_gaps), 3),
    }


def measure_requests(cluster):
    """Measure the rate of service calls through one entry instance.

    Args:
      cluster: A Cluster.
    Returns:
      A map of measurements.
    """
    entry = cluster.entries[0]
    raw = build_raw('GET', '/v1/services/booking/bookings', _BOOKING_HEADERS)
    earlier = read_cpu_s(entry.pid)
    started_s = time.perf_counter()
    with socket.create_connection((LOOPBACK, entry.port)) as sock:
        for _ in range(_REQUEST_COUNT):
            sock.sendall(raw)
            if not sock.recv(_READ_SIZE).endswith(b'}'):
                raise RuntimeError('a response was truncated')
    elapsed_s = time.perf_counter() - started_s
    cpu_s = read_cpu_s(entry.pid) - earlier
    return {
        'calls_per_second': round(_REQUEST_COUNT / elapsed_s),
        'cpu_ms_per_call': round(cpu_s / _REQUEST_COUNT * 1000, 3),
    }


def measure_tokens(cluster):
    """Measure throughput and CPU time of streaming through one entry instance.

    Args:
      cluster: A Cluster.
    Returns:
      A map of measurements.
    """
    entry = cluster.entries[0]
    raw = build_stream_request(_TOKEN_COUNT, _DEADLINE_MS)
    earlier = read_cpu_s(entry.pid)
    started_s = time.perf_counter()
    events = _stream_concurrently(entry.port, raw)
    elapsed_s = time.perf_counter() - started_s
    cpu_s = read_cpu_s(entry.pid) - earlier
    count = _STREAM_COUNT * _TOKEN_COUNT
    return {
        'streams': _STREAM_COUNT,
        'events': events,
        'tokens': count,
        'tokens_per_second': round(count / elapsed_s),
        'cpu_us_per_token': round(cpu_s / count * 1_000_000, 1),
        'tokens_per_cpu_second': round(count / cpu_s),
    }


def _stream_concurrently(port, raw):
    address = (LOOPBACK, port)
    sockets = [socket.create_connection(address) for _ in range(_STREAM_COUNT)]
    for opened in sockets:
        opened.sendall(raw)
    return sum(_count_events(sock) for sock in sockets)


def main():
    """Run all measurements and print them as JSON."""
    document = {}
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(Shape(entries=1, engines=2), folder) as cluster:
            document['gaps'] = measure_gaps(cluster)
            document['requests'] = measure_requests(cluster)
            document['tokens'] = measure_tokens(cluster)
        for tokens_per_event in (2, 4):
            flags = [f'--tokens-per-event={tokens_per_event}']
            shape = Shape(entries=1, engines=2, engine_flags=flags)
            with Cluster(shape, folder) as cluster:
                document[f'tokens_by_{tokens_per_event}'] = measure_tokens(
                    cluster
                )
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


def _compute_gaps(times):
    pairs = zip(times, times[1:])
    return [(after - earlier) * 1000 for earlier, after in pairs]


def _percentile(gaps, percent):
    return sorted(gaps)[int(len(gaps) * percent / 100)]


if __name__ == '__main__':
    sys.exit(main())
