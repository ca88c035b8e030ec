"""`crankchute losses`: count lost requests by cause, from logs."""

import sys

from crankchute.commands.explain import read_logs
from crankchute.core.loss_report import compare_predictions, summarize_losses
from crankchute.core.request_traces import gather_traces

_QUANTILES = (0.1, 0.5, 0.9)


def add_parser(subparsers):
    """Add the parser of this command."""
    parser = subparsers.add_parser(
        'losses',
        help='count late, refused and failed requests by cause',
    )
    parser.add_argument('files', nargs='+', help='log files of instances')
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command and return its exit code."""
    traces = gather_traces(read_logs(flags.files))
    if not traces:
        sys.stderr.write('the logs contain no requests\n')
        return 1
    for text in (*render_losses(traces), '', *render_predictions(traces)):
        sys.stdout.write(f'{text}\n')
    return 0


def render_losses(traces):
    """Format a table of lost requests by cause.

    Args:
      traces: A list of request traces.
    Returns:
      A list of lines.
    """
    requests = [trace for trace in traces if not trace.is_relayed]
    tokens = sum(trace.tokens for trace in requests)
    rows = [
        f'{summary.count:6} {summary.count_after_start:11} {summary.tokens / tokens:8.2%}'
        f'  {summary.cause}'
        for summary in summarize_losses(requests)
    ]
    total = f'of {len(requests)} requests with {tokens} tokens'
    return [' count after start   tokens  cause', *rows, total]


def render_predictions(traces):
    """Format a table of observed over predicted times to first event.

    Args:
      traces: A list of request traces.
    Returns:
      A list of lines.
    """
    heading = 'observed/predicted   count    p10    p50    p90'
    ratios = compare_predictions(traces)
    return [
        heading,
        *(_render_ratios(*group) for group in sorted(ratios.items())),
    ]


def _render_ratios(group, ratios):
    band, is_after_start = group
    label = f'{band}, started' if is_after_start else band
    last_index = len(ratios) - 1
    quantiles = ' '.join(
        f'{ratios[round(last_index * quantile)]:6.2f}'
        for quantile in _QUANTILES
    )
    return f'{label:20} {len(ratios):5} {quantiles}'
