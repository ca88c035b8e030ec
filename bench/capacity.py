"""`make capacity`: measures resource costs by size and updates CAPACITY.md.

Runs clusters of real entry processes in several sizes, and the core alone with
up to hundreds of members.  Replaces the tables between the markers in
docs/CAPACITY.md.
"""

import argparse
import os
import socket
import sys
import tempfile
import time
from pathlib import Path
from statistics import linear_regression

from bench import capacity_core
from bench.cluster import LOOPBACK, ROOT, Cluster, Shape, wait_for
from bench.path import build_raw, read_cpu_s

_PAGE_PATH = ROOT / 'docs' / 'CAPACITY.md'
_MEASUREMENT_S = 10
_MEMORY_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MB = 1_000_000
_READ_SIZE = 65_536
_ENGINE_COUNTS = (2, 12, 24, 36)
_MEMBER_COUNTS = (25, 100, 400, 780)
_ACCOUNT_COUNTS = (1000, 5000, 20_000)
_LISTED_ENGINE_COUNTS = (6, 322, 2900)
_INSTANCE_COUNTS = (6, 87, 780)
_LIMITED_ACCOUNT_COUNTS = (500, 2000)
#: The linear fits: table, independent column, dependent column.
_FITS = (
    ('nodes', 'entries', 'cpu_percent'),
    ('nodes', 'entries', 'peer_bytes_per_s'),
    ('nodes', 'entries', 'memory_mb'),
    ('engines', 'engines', 'cpu_percent'),
    ('config', 'accounts', 'change_ms'),
    ('config', 'accounts', 'kept_mb'),
    ('addresses', 'nodes', 'cpu_ms_per_answer'),
    ('dispatch', 'engines_listed', 'cpu_ms_per_request'),
)


def read_memory_mb(pid):
    """Return the resident memory of a process, in megabytes.

    Args:
      pid: The process id.
    """
    pages = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * _MEMORY_PAGE_BYTES / _MB


def measure_idle_cluster(entries, engines):
    """Measure the resource use of an idle cluster.

    Args:
      entries: The number of entry instances.
      engines: The number of engines.
    Returns:
      A dict of values per entry instance, averaged over all of them.
    """
    shape = Shape(entries=entries, engines=engines)
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(shape, folder) as cluster:
            poll_bytes = _measure_poll_bytes(cluster.engines[0])
            before = _sum_usage(cluster)
            time.sleep(_MEASUREMENT_S)
            after = _sum_usage(cluster)
    rates = [
        (later - earlier) / _MEASUREMENT_S / entries
        for earlier, later in zip(before, after)
    ]
    return {
        'entries': entries,
        'engines': engines,
        'cpu_percent': round(rates[0] * 100, 2),
        'messages_per_s': round(rates[1], 2),
        'peer_bytes_per_s': round(rates[2]),
        'polls_per_s': round(rates[3], 1),
        'poll_bytes_per_s': round(rates[3] * poll_bytes),
        'reads_per_s_fleet': round(rates[4] * entries, 2),
        'memory_mb': round(after[5] / entries, 1),
    }


def measure_config_rollout(entries):
    """Measure the time until all instances apply a configuration change.

    Args:
      entries: The number of entry instances.
    Returns:
      A dict from column name to value.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(Shape(entries=entries, engines=3), folder) as cluster:
            started = time.monotonic()
            revision = cluster.publish('policy', {'routing': 'two-choices'})
            wait_for(
                lambda: _is_in_force_everywhere(cluster, revision), pause_s=0.02
            )
            elapsed = time.monotonic() - started
    return {'entries': entries, 'all_in_force_s': round(elapsed, 2)}


def fit_line(rows, x_name, y_name):
    """Fit a line to two columns by least squares.

    Args:
      rows: Dicts from column name to value, at least two.
      x_name: The independent column.
      y_name: The dependent column.
    Returns:
      A dict with the slope, the intercept and the largest relative error.
    """
    sizes = [row[x_name] for row in rows]
    costs = [row[y_name] for row in rows]
    line = linear_regression(sizes, costs)
    errors = [
        abs(line.intercept + line.slope * size - cost) / max(cost, 1e-9)
        for size, cost in zip(sizes, costs)
    ]
    return {
        'cost': y_name,
        'per': x_name,
        'slope': f'{line.slope:.4g}',
        'at_zero': f'{line.intercept:.4g}',
        'largest_error': f'{max(errors):.0%}',
    }


def format_table(rows):
    """Return rows as a Markdown table.

    Args:
      rows: Dicts with the same keys.
    """
    names = list(rows[0])
    lines = [names, ['---' for _ in names]]
    lines.extend([str(row[name]) for name in names] for row in rows)
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def replace_table(page, name, table):
    """Return a page with the table between two markers replaced.

    Args:
      page: The text of the page.
      name: The name in the start marker.
      table: The new table.
    Raises:
      ValueError: If a marker is missing.
    """
    start = f'<!-- table {name} -->\n'
    end = '<!-- end -->'
    head, _, rest = page.partition(start)
    _, found, tail = rest.partition(end)
    if not found:
        raise ValueError(f'missing marker for table {name!r}')
    return f'{head}{start}{table}\n{end}{tail}'


def collect_tables(sizes):
    """Run all measurements.

    Args:
      sizes: A list of numbers of entry processes.
    Returns:
      A dict from table name to rows.
    """
    core = capacity_core
    tables = {
        'nodes': [measure_idle_cluster(size, 6) for size in sizes],
        'engines': [measure_idle_cluster(2, size) for size in _ENGINE_COUNTS],
        'changes': [measure_config_rollout(size) for size in sizes],
        'membership': [
            core.measure_membership(size) for size in _MEMBER_COUNTS
        ],
        'config': [core.measure_config(size) for size in _ACCOUNT_COUNTS],
        'dispatch': [
            core.measure_dispatch(size) for size in _LISTED_ENGINE_COUNTS
        ],
        'addresses': [
            core.measure_addresses(size) for size in _INSTANCE_COUNTS
        ],
        'limits': [
            core.measure_limits(size) for size in _LIMITED_ACCOUNT_COUNTS
        ],
    }
    tables['fits'] = [
        fit_line(tables[table], x_name, y_name)
        for table, x_name, y_name in _FITS
    ]
    return tables


def main():
    """Run the measurements, print the tables and update the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='6,12,24,48')
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(',')]
    tables = collect_tables(sizes)
    page = _PAGE_PATH.read_text(encoding='utf-8')
    for name, rows in tables.items():
        table = format_table(rows)
        print(f'{name}\n{table}\n', flush=True)
        page = replace_table(page, name, table)
    _PAGE_PATH.write_text(page, encoding='utf-8')
    return 0


def _sum_usage(cluster):
    """Return the resource use of all entry instances so far, summed."""
    readings = [
        _read_usage(cluster.state(entry), entry.pid)
        for entry in cluster.entries
    ]
    return [sum(column) for column in zip(*readings)]


def _read_usage(state, pid):
    counters = state['counters']
    messages = [
        count
        for name, count in counters.items()
        if name.startswith('peer_messages')
    ]
    reads = [watch['reads'] for watch in state['platform'].values()]
    return [
        read_cpu_s(pid),
        sum(messages),
        counters.get('peer_bytes', 0),
        state['load_polls'],
        sum(reads),
        read_memory_mb(pid),
    ]


def _measure_poll_bytes(engine):
    """Return the size of a load poll, request and response, in bytes."""
    request = build_raw('GET', '/v1/load?since=0', ())
    with socket.create_connection((LOOPBACK, engine.port)) as sock:
        sock.sendall(request)
        return len(request) + len(sock.recv(_READ_SIZE))


def _is_in_force_everywhere(cluster, revision):
    return all(
        cluster.state(entry)['config']['in_force'] == revision
        for entry in cluster.entries
    )


if __name__ == '__main__':
    sys.exit(main())
