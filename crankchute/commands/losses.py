"""`crankchute losses`: what was lost by which cause, from logs."""

import sys

from crankchute.commands.explain import read_logs
from crankchute.core.loss_report import compare_predictions, summarize_losses
from crankchute.core.request_traces import gather_traces

_QUANTILES = (0.1, 0.5, 0.9)


def add_parser(subparsers):
    """Add the command's parser."""
    parser = subparsers.add_parser(
        'losses',
        help='split what was late, refused or failed by cause',
    )
    parser.add_argument('files', nargs='+', help='logs of instances')
    parser.set_defaults(run=run)


def run(flags, _environ):
    """Run the command; see main."""
    traces = gather_traces(read_logs(flags.files))
    if not traces:
        sys.stderr.write('no request is in these logs\n')
        return 1
    for text in (*render_losses(traces), '', *render_predictions(traces)):
        sys.stdout.write(f'{text}\n')
    return 0


def render_losses(traces):
    """Return the table of losses as lines for people.

    Args:
      traces: A list of RequestTrace.
    """
    tokens = sum(trace.tokens for trace in traces)
    rows = [
        f'{summary.count:6} {summary.count_after_start:11}'
        f' {summary.tokens / tokens:8.2%}'
        f'  {summary.cause}'
        for summary in summarize_losses(traces)
    ]
    total = f'of {len(traces)} requests with {tokens} tokens'
    return [' count after start   tokens  cause', *rows, total]


def render_predictions(traces):
    """Return how first events compare with predictions, lines for people.

    Args:
      traces: A list of RequestTrace.
    """
    heading = 'seen by predicted    count    p10    p50    p90'
    found = compare_predictions(traces)
    return [heading, *(_render_ratios(*one) for one in sorted(found.items()))]


def _render_ratios(name, ratios):
    band, is_after_start = name
    label = f'{band}, started' if is_after_start else band
    last = len(ratios) - 1
    shown = ' '.join(f'{ratios[round(last * at)]:6.2f}' for at in _QUANTILES)
    return f'{label:20} {len(ratios):5} {shown}'
