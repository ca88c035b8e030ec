"""Traces of requests, assembled from the logs of several instances."""

from types import MappingProxyType

#: How long a process counts as just started, in seconds.
_STARTUP_WINDOW_S = 10
#: The upper bounds of the bands of prompt lengths, in tokens.
_PROMPT_LENGTH_BOUNDS = (20_000, 100_000, float('inf'))
#: The assumed prompt length of requests that log none.
_DEFAULT_TOKENS = 5000
_NO_PROMPT_BAND = 'plain'


class RequestTrace:
    """The log lines of one request at one instance.

    Attributes:
      fields: The fields of the line that reports its arrival, a map.
      attempts: A list of pairs: the fields of an attempt, and the fields of
        the attempt's end or None.
      end: The fields of the line that reports its end, or None.
      refusal: The fields of the line that reports its refusal, or None.
      is_after_start: Whether its process had just started, a bool.
    """

    __slots__ = ('attempts', 'end', 'fields', 'is_after_start', 'refusal')

    def __init__(self):
        """Create a trace without lines."""
        self.fields = {}
        self.attempts = []
        self.end = None
        self.refusal = None
        self.is_after_start = False

    @property
    def is_relayed(self):
        """Whether this is the part of a request at a proxy."""
        fields = self.refusal or self.fields
        return fields.get('relayed_by') is not None

    @property
    def tokens(self):
        """The length of the prompt in tokens, or an assumed length."""
        return self.fields.get('tokens') or _DEFAULT_TOKENS

    @property
    def length_band(self):
        """The name of the band of prompt lengths."""
        if self.fields.get('tokens') is None:
            return _NO_PROMPT_BAND
        upper_bound = next(
            bound for bound in _PROMPT_LENGTH_BOUNDS if self.tokens <= bound
        )
        return f'<= {upper_bound}'

    @property
    def last_attempt(self):
        """The fields of the last attempt, or None."""
        return self.attempts[-1][0] if self.attempts else None

    @property
    def last_attempt_end(self):
        """The fields of the last attempt's end; empty if there is none."""
        return (self.attempts[-1][1] or {}) if self.attempts else {}

    @property
    def first_event_after_ms(self):
        """The time from arrival to the first event, or None."""
        first_ms = self.last_attempt_end.get('first_ms')
        return (
            None if first_ms is None else self.last_attempt['age_ms'] + first_ms
        )

    @property
    def is_late(self):
        """Whether the answer missed its goal; for streams, the first event."""
        goal_ms = self.fields.get('goal_ms')
        if goal_ms is None or self.end is None:
            return False
        is_stream = self.fields.get('gap_ms') is not None
        latency_ms = (
            self.first_event_after_ms if is_stream else self.end['after_ms']
        )
        return latency_ms is None or latency_ms > goal_ms


def gather_traces(lines):
    """Assemble log lines into traces of requests.

    Args:
      lines: LogLines of all instances; those of each instance in order.
    Returns:
      A list of RequestTrace.
    """
    traces = {}
    started_s = {}
    for line in lines:
        if line.message_type == 'started':
            started_s[line.source] = line.timestamp_s
        request = line.fields.get('request')
        if request is None or line.message_type not in _RECORDERS:
            continue
        key = (line.source, request)
        trace = traces.get(key)
        if trace is None:
            trace = RequestTrace()
            traces[key] = trace
            uptime_s = line.timestamp_s - started_s.get(
                line.source, float('-inf')
            )
            trace.is_after_start = uptime_s < _STARTUP_WINDOW_S
        _RECORDERS[line.message_type](trace, line.fields)
    return list(traces.values())


def _record_request(trace, fields):
    trace.fields = fields


def _record_refusal(trace, fields):
    trace.refusal = fields


def _record_attempt(trace, fields):
    trace.attempts.append((fields, None))


def _record_attempt_end(trace, fields):
    if trace.attempts:
        trace.attempts[-1] = (trace.attempts[-1][0], fields)


def _record_end(trace, fields):
    trace.end = fields


_RECORDERS = MappingProxyType(
    {
        'request': _record_request,
        'request_refused': _record_refusal,
        'attempt': _record_attempt,
        'attempt_end': _record_attempt_end,
        'request_end': _record_end,
    }
)
