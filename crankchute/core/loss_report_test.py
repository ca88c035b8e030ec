"""Tests of the classification of lost requests by cause."""

import pytest

from crankchute.core.loss_report import compare_predictions, summarize_losses
from crankchute.core.request_history import LogLine
from crankchute.core.request_traces import gather_traces


def make_line(message_type, timestamp_s=100, **fields):
    fields.setdefault('request', 'r1')
    fields.update(
        message_type=f'crankchute:{message_type}', timestamp=timestamp_s
    )
    return LogLine('edge-1', fields)


def make_request(**changes):
    fields = {'tokens': 5000, 'goal_ms': 300, 'gap_ms': 250}
    return make_line('request', **{**fields, **changes})


def make_attempt(**changes):
    fields = {'age_ms': 1, 'predicted_ms': 100, 'cause': None}
    return make_line('attempt', **{**fields, **changes})


def make_end(code='whole', outcome='ok', after_ms=900):
    return make_line(
        'request_end', code=code, outcome=outcome, after_ms=after_ms
    )


def make_attempt_end(first_ms=110, longest_gap_ms=80):
    return make_line(
        'attempt_end',
        first_ms=first_ms,
        longest_gap_ms=longest_gap_ms,
    )


ENGINE_WITHOUT_SLOT = (('lacking', 1),)


@pytest.mark.parametrize(
    ('lines', 'cause'),
    [
        ([make_line('request_refused', code='x')], 'refused at once: x'),
        ([make_request()], 'interrupted by process exit'),
        ([make_request(), make_end('full', 'not_run')], 'failed: full'),
        ([make_attempt(), make_attempt_end(), make_end()], None),
        (
            [make_attempt(), make_attempt_end(400), make_end()],
            'late, wrong prediction',
        ),
        (
            [make_attempt(predicted_ms=350), make_attempt_end(400), make_end()],
            'late, as predicted',
        ),
        (
            [
                make_attempt(believed=dict(ENGINE_WITHOUT_SLOT)),
                make_attempt_end(400),
                make_end(),
            ],
            'late, no slot',
        ),
        (
            [
                make_attempt(),
                make_attempt_end(None),
                make_attempt(cause='failed', age_ms=350),
                make_attempt_end(),
                make_end(),
            ],
            'late, retried after: failed',
        ),
        (
            [make_attempt(), make_attempt_end(longest_gap_ms=400), make_end()],
            'paused',
        ),
        (
            [make_attempt(), make_attempt_end(None), make_end('caller_gone')],
            'late, wrong prediction',
        ),
        (
            [
                make_request(tokens=None, gap_ms=None),
                make_attempt(predicted_ms=None),
                make_end(),
            ],
            'late, no prediction',
        ),
    ],
)
def test_lost_request_has_one_cause(lines, cause):
    if lines[0].message_type == 'attempt':
        lines = [make_request(), *lines]
    summaries = summarize_losses(gather_traces(lines))
    found = summaries[0].cause if summaries else None
    assert found == cause
    assert len(summaries) <= 1


def test_losses_are_sorted_by_tokens_and_count_process_starts():
    lines = [
        make_line('started', 90, request=None),
        make_request(request='r1', timestamp_s=95, tokens=10),
        make_request(request='r2', timestamp_s=200, tokens=900),
        make_line('request_refused', request='r3', code='no_config'),
    ]
    summaries = summarize_losses(gather_traces(lines))
    assert [
        (summary.count, summary.count_after_start) for summary in summaries
    ] == [
        (1, 0),
        (2, 1),
    ]
    assert summaries[1].tokens == 910


def test_predictions_are_grouped_by_length_band_and_process_start():
    lines = [
        make_line('started', 90, request=None),
        make_request(request='r1', timestamp_s=95),
        make_line('attempt', request='r1', predicted_ms=100, age_ms=0),
        make_line('attempt_end', request='r1', first_ms=150),
        make_request(request='r2', timestamp_s=120, tokens=50_000),
        make_line('attempt', request='r2', predicted_ms=100, age_ms=0),
        make_line('attempt_end', request='r2', first_ms=90),
    ]
    assert compare_predictions(gather_traces(lines)) == {
        ('<= 20000', True): [1.5],
        ('<= 100000', False): [0.9],
    }


@pytest.mark.parametrize(('relayed_by', 'count'), [('edge-2', 0), (None, 1)])
@pytest.mark.parametrize(
    'lines',
    [
        lambda by: [make_request(relayed_by=by), make_end('x', 'not_run')],
        lambda by: [make_line('request_refused', code='x', relayed_by=by)],
    ],
)
def test_relayed_request_is_counted_twice(lines, relayed_by, count):
    traces = gather_traces(lines(relayed_by))
    assert sum(one.count for one in summarize_losses(traces)) == count
