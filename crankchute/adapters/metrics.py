"""Metrics for Prometheus, named by its conventions."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    generate_latest,
)

from crankchute.core.job import length_band, length_bands
from crankchute.ports.metrics import Metrics

_TIME_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 1, 2, 5, 10, 30, 60)
_EARLY_BUCKETS_S = (-1, -0.3, -0.1, -0.03)
_LATE_BUCKETS_S = (0, 0.03, 0.1, 0.3, 1, 3)
_ERROR_BUCKETS_S = (*_EARLY_BUCKETS_S, *_LATE_BUCKETS_S)
_COUNTERS = (
    ('requests_ended', 'Completions ended, by outcome.', 'outcome'),
    ('service_calls_ended', 'Plain service calls ended.', 'outcome'),
    ('refusals', 'Completions refused before they were admitted.', 'code'),
    ('refused_over_share', 'Refusals to accounts over their share.', None),
    ('engine_refusals', 'Orders an engine refused to start.', 'code'),
    ('attempts_failed', 'Attempts without an answer, by cause.', 'cause'),
    ('requests_relayed', 'Attempts through other instances.', None),
    ('relays_taken', 'Requests relayed by other instances.', None),
    ('retries', 'Attempts repeated after a failure.', None),
    ('retries_denied', 'Retries that the budget did not allow.', None),
    ('silent_attempts', 'Attempts with a silent server.', 'verdict'),
    ('requests_held', 'Requests found to crash servers.', None),
    ('reservations', 'Memory reservations at single engines.', 'outcome'),
    ('renewals_lost', 'Reservations that could not be renewed.', None),
    ('orders_unanswered', 'Orders that engines did not answer.', 'order'),
    ('frames_dropped', 'Frames that belonged to no attempt here.', None),
    ('group_replacements', 'Lost members of groups replaced.', None),
    ('group_restarts', 'Groups that freed everything to start over.', None),
    ('bad_requests', 'Requests refused for what they said.', 'code'),
    ('intake_refused', 'Requests refused before they were read.', 'code'),
    ('requests_waited', 'Requests that waited unread for memory.', None),
    ('orders_sent', 'Orders sent to engines.', None),
    ('answers_paused', 'Pauses of reading answers for slow callers.', None),
    ('caller_too_slow', 'Callers disconnected as too slow.', 'cause'),
    ('server_too_slow', 'Servers that did not read a request.', 'cause'),
    ('peer_messages', 'Messages to other instances.', 'method'),
    ('peer_bytes', 'Bytes of messages to other instances.', None),
)
_MS_PER_SECOND = 1000


class PrometheusMetrics(Metrics):
    """Metrics in a separate CollectorRegistry.

    Attributes:
      registry: The CollectorRegistry.
    """

    def __init__(self):
        """Create all metrics with the value zero."""
        super().__init__()
        self.registry = CollectorRegistry()
        self._counters = {
            name: self._make_counter(name, text, label)
            for name, text, label in _COUNTERS
        }
        self._first_token_times = Histogram(
            'crankchute_first_token_seconds',
            'Time from arrival to the first token.',
            ['band'],
            buckets=_TIME_BUCKETS_S,
            registry=self.registry,
        )
        self._prediction_errors = Histogram(
            'crankchute_first_event_error_seconds',
            'By how much first events came later than predicted.',
            ['band'],
            buckets=_ERROR_BUCKETS_S,
            registry=self.registry,
        )
        for band in length_bands():
            self._first_token_times.labels(band)
            self._prediction_errors.labels(band)
        self._request_durations = Histogram(
            'crankchute_request_seconds',
            'Time from the arrival of a forwarded request to its end.',
            ['pool'],
            buckets=_TIME_BUCKETS_S,
            registry=self.registry,
        )

    def add_gauge(self, name, text, function):
        """Add a gauge that is evaluated when metrics are rendered.

        Args:
          name: The name without the project's prefix.
          text: The help text.
          function: A function that returns a number.
        """
        gauge = Gauge(f'crankchute_{name}', text, registry=self.registry)
        gauge.set_function(function)

    def count(self, name, label=None, amount=1):
        """See Metrics."""
        super().count(name, label, amount)
        counter = self._counters[name]
        if label is not None:
            counter = counter.labels(label)
        counter.inc(amount)

    def observe_first_token(self, job, waited_ms):
        """See Metrics."""
        band = length_band(job.tokens)
        self._first_token_times.labels(band).observe(waited_ms / _MS_PER_SECOND)

    def observe_prediction(self, tokens, error_ms):
        """See Metrics."""
        band = self._prediction_errors.labels(length_band(tokens))
        band.observe(error_ms / _MS_PER_SECOND)

    def observe_request(self, pool, waited_ms):
        """See Metrics."""
        self._request_durations.labels(pool).observe(waited_ms / _MS_PER_SECOND)

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        return generate_latest(self.registry)

    def _make_counter(self, name, text, label):
        labels = [] if label is None else [label]
        return Counter(
            f'crankchute_{name}',
            text,
            labels,
            registry=self.registry,
        )
