"""Classification of failed and late requests by cause, from logs.

Each request is attributed to at most one cause: the first one that applies,
in the order of registration.
"""

from crankchute.core.registry import Registry

#: Maps the name of a cause to a function of a request's trace.  The function
#: returns whether the cause applies, or a detail to append to the name.
causes = Registry()
_OUTCOME_OK = 'ok'


class LossSummary:
    """The requests that were lost by one cause.

    Attributes:
      cause: The name of the cause.
      count: The number of requests.
      count_after_start: The number of them soon after their process started.
      tokens: The total length of their prompts, in tokens.
    """

    __slots__ = ('cause', 'count', 'count_after_start', 'tokens')

    def __init__(self, cause):
        """Create a summary without requests.

        Args:
          cause: A string.
        """
        self.cause = cause
        self.count = 0
        self.count_after_start = 0
        self.tokens = 0

    def add(self, trace):
        """Add the trace of a request to the totals."""
        self.count += 1
        self.count_after_start += trace.is_after_start
        self.tokens += trace.tokens


def summarize_losses(traces):
    """Group lost requests by cause.

    A relayed request counts at the instance that its caller sent it to.

    Args:
      traces: A list of the requests' traces.
    Returns:
      A list of LossSummary, in descending order of tokens.
    """
    summaries = {}
    for trace in traces:
        cause = None if trace.is_relayed else classify_loss(trace)
        if cause is not None:
            summaries.setdefault(cause, LossSummary(cause)).add(trace)
    return sorted(summaries.values(), key=_get_tokens, reverse=True)


def classify_loss(trace):
    """Return the name of the cause by which a request was lost, or None.

    Args:
      trace: The request's trace.
    """
    for name, applies in causes.items():
        detail = applies(trace)
        if detail:
            return name if detail is True else f'{name}: {detail}'
    return None


def compare_predictions(traces):
    """Compare the actual and predicted times of first events.

    Args:
      traces: A list of the requests' traces.
    Returns:
      A map of pairs (length band, whether the process had just started) to
      sorted ratios of the actual to the predicted time.
    """
    ratios = {}
    for trace in traces:
        for attempt, attempt_end in trace.attempts:
            predicted_ms = attempt.get('predicted_ms')
            first_ms = (attempt_end or {}).get('first_ms')
            if predicted_ms and first_ms is not None:
                group = (trace.length_band, trace.is_after_start)
                ratios.setdefault(group, []).append(first_ms / predicted_ms)
    return {
        group: sorted(group_ratios) for group, group_ratios in ratios.items()
    }


@causes.register('refused at once')
def _is_refused(trace):
    return trace.refusal is not None and trace.refusal['code']


@causes.register('interrupted by process exit')
def _has_no_end(trace):
    return trace.end is None


@causes.register('failed')
def _has_failed(trace):
    if (
        trace.end['outcome'] == _OUTCOME_OK
        or trace.end['code'] == 'caller_gone'
    ):
        return False
    return trace.end['code']


@causes.register('late, retried after')
def _is_late_after_retry(trace):
    if not trace.is_late or len(trace.attempts) < 2:
        return False
    return str(trace.last_attempt['cause'])


@causes.register('late, no slot')
def _is_late_without_slot(trace):
    believed = (trace.last_attempt or {}).get('believed') or {}
    return trace.is_late and bool(believed.get('lacking'))


@causes.register('late, as predicted')
def _is_late_as_predicted(trace):
    if not trace.is_late or trace.last_attempt is None:
        return False
    predicted_ms = trace.last_attempt.get('predicted_ms')
    if predicted_ms is None:
        return False
    return trace.last_attempt['age_ms'] + predicted_ms > trace.fields['goal_ms']


@causes.register('late, wrong prediction')
def _is_late_despite_prediction(trace):
    last_attempt = trace.last_attempt or {}
    return trace.is_late and last_attempt.get('predicted_ms') is not None


@causes.register('late, no prediction')
def _is_late_without_prediction(trace):
    return trace.is_late


@causes.register('paused')
def _exceeds_gap(trace):
    gap_ms = trace.fields.get('gap_ms')
    longest_ms = trace.last_attempt_end.get('longest_gap_ms') or 0
    return gap_ms is not None and longest_ms > gap_ms


def _get_tokens(summary):
    return summary.tokens
