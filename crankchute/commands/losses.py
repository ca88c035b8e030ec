"""`crankchute losses`: what was lost by which cause, from logs."""

import sys

from crankchute.commands.explain import read_logs
from crankchute.core.log_losses import compare_predictions, split_losses
from crankchute.core.log_stories import gather_stories

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
    stories = gather_stories(read_logs(flags.files))
    if not stories:
        sys.stderr.write('no request is in these logs\n')
        return 1
    for text in (*render_losses(stories), '', *render_predictions(stories)):
        sys.stdout.write(f'{text}\n')
    return 0


def render_losses(stories):
    """Return the table of losses as lines for people.

    Args:
      stories: A list of RequestTrace.
    """
    tokens = sum(story.tokens for story in stories)
    rows = [
        f'{row.count:6} {row.after_start:11} {row.tokens / tokens:8.2%}'
        f'  {row.cause}'
        for row in split_losses(stories)
    ]
    total = f'of {len(stories)} requests with {tokens} tokens'
    return [' count after start   tokens  cause', *rows, total]


def render_predictions(stories):
    """Return how first events compare with predictions, lines for people.

    Args:
      stories: A list of RequestTrace.
    """
    heading = 'seen by predicted    count    p10    p50    p90'
    found = compare_predictions(stories)
    return [heading, *(_render_ratios(*one) for one in sorted(found.items()))]


def _render_ratios(name, ratios):
    band, is_after_start = name
    label = f'{band}, started' if is_after_start else band
    last = len(ratios) - 1
    shown = ' '.join(f'{ratios[round(last * at)]:6.2f}' for at in _QUANTILES)
    return f'{label:20} {len(ratios):5} {shown}'
