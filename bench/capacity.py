"""`make capacity`: measures the slopes and rewrites the tables of the page.

Real entry processes at several sizes, and the core alone with hundreds of
members.  Tables of docs/CAPACITY.md stand between markers and are replaced.
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

_PAGE = ROOT / 'docs' / 'CAPACITY.md'
_WATCH_S = 10
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_MB = 1_000_000
_READ_SIZE = 65_536
_ENGINES = (2, 12, 24, 36)
_MEMBERS = (25, 100, 400, 780)
_ACCOUNTS = (1000, 5000, 20_000)
_LISTED = (6, 322, 2900)
_INSTANCES = (6, 87, 780)
_LIMITED = (500, 2000)
#: Table, column of sizes, and column of costs of each fit.
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
      pid: The id of a process that was started here.
    """
    pages = Path(f'/proc/{pid}/statm').read_text(encoding='ascii').split()[1]
    return int(pages) * _PAGE_BYTES / _MB


def measure_processes(entries, engines):
    """Watch a cluster at rest.

    Args:
      entries: How many entry instances.
      engines: How many engines.
    Returns:
      A map of figures for one entry instance, as means over all of them.
    """
    shape = Shape(entries=entries, engines=engines)
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(shape, folder) as cluster:
            poll_bytes = _measure_poll_bytes(cluster.engines[0])
            before = _read_all(cluster)
            time.sleep(_WATCH_S)
            after = _read_all(cluster)
    rates = [
        (later - sooner) / _WATCH_S / entries
        for sooner, later in zip(before, after)
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


def measure_change(entries):
    """Measure how long a change takes to be in force everywhere.

    Args:
      entries: How many entry instances.
    Returns:
      A map of figures.
    """
    with tempfile.TemporaryDirectory() as folder:
        with Cluster(Shape(entries=entries, engines=3), folder) as cluster:
            started = time.monotonic()
            revision = cluster.publish('policy', {'routing': 'two-choices'})
            wait_for(lambda: _all_at(cluster, revision), pause_s=0.02)
            elapsed = time.monotonic() - started
    return {'entries': entries, 'all_in_force_s': round(elapsed, 2)}


def fit(rows, x_name, y_name):
    """Fit a line through two columns.

    Args:
      rows: Maps of figures, at least two.
      x_name: The column of sizes.
      y_name: The column of costs.
    Returns:
      A map with slope, intercept and the largest relative error.
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


def write_table(rows):
    """Return rows as a Markdown table.

    Args:
      rows: Maps with the same keys.
    """
    names = list(rows[0])
    lines = [names, ['---' for _ in names]]
    lines.extend([str(row[name]) for name in names] for row in rows)
    return '\n'.join(f'| {" | ".join(line)} |' for line in lines)


def replace_table(page, name, table):
    """Return a page with one of its marked tables replaced.

    Args:
      page: The page's text.
      name: The marker's name.
      table: The new table.
    Raises:
      ValueError: If the marker is not there.
    """
    start = f'<!-- table {name} -->\n'
    end = '<!-- end -->'
    head, _, rest = page.partition(start)
    _, found, tail = rest.partition(end)
    if not found:
        raise ValueError(f'the page has no table {name!r}')
    return f'{head}{start}{table}\n{end}{tail}'


def collect_tables(sizes):
    """Measure everything.

    Args:
      sizes: Numbers of entry processes, a list.
    Returns:
      A map from table name to rows.
    """
    core = capacity_core
    tables = {
        'nodes': [measure_processes(size, 6) for size in sizes],
        'engines': [measure_processes(2, size) for size in _ENGINES],
        'changes': [measure_change(size) for size in sizes],
        'membership': [core.measure_membership(size) for size in _MEMBERS],
        'config': [core.measure_config(size) for size in _ACCOUNTS],
        'dispatch': [core.measure_dispatch(size) for size in _LISTED],
        'addresses': [core.measure_addresses(size) for size in _INSTANCES],
        'limits': [core.measure_limits(size) for size in _LIMITED],
    }
    tables['fits'] = [
        fit(tables[table], x_name, y_name) for table, x_name, y_name in _FITS
    ]
    return tables


def main():
    """Measure, print the tables, and rewrite the page."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--sizes', default='6,12,24,48')
    flags = parser.parse_args()
    sizes = [int(size) for size in flags.sizes.split(',')]
    tables = collect_tables(sizes)
    page = _PAGE.read_text(encoding='utf-8')
    for name, rows in tables.items():
        table = write_table(rows)
        print(f'{name}\n{table}\n', flush=True)
        page = replace_table(page, name, table)
    _PAGE.write_text(page, encoding='utf-8')
    return 0


def _read_all(cluster):
    """Return the sums of what all entry instances have used so far."""
    readings = [
        _read_one(cluster.state(one), one.pid) for one in cluster.entries
    ]
    return [sum(column) for column in zip(*readings)]


def _read_one(state, pid):
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
    """Return the bytes of one load question and its answer."""
    raw = build_raw('GET', '/v1/load?since=0', ())
    with socket.create_connection((LOOPBACK, engine.port)) as sock:
        sock.sendall(raw)
        return len(raw) + len(sock.recv(_READ_SIZE))


def _all_at(cluster, revision):
    return all(
        cluster.state(entry)['config']['in_force'] == revision
        for entry in cluster.entries
    )


if __name__ == '__main__':
    sys.exit(main())
