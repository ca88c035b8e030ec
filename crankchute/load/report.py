"""Reports of load runs: latency histograms by prompt length band."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from crankchute.core.job import length_band, length_bands

_MIN_US = 1
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_US_PER_MS = 1000
_PERCENTILES = (50, 95, 99)
_BAR_WIDTH = 0.25


class Distribution:
    """A histogram of durations, with three significant digits."""

    def __init__(self):
        """Create an empty distribution."""
        self._histogram = HdrHistogram(_MIN_US, _MAX_US, _SIGNIFICANT_DIGITS)

    @property
    def count(self):
        """The number of recorded values, an int."""
        return self._histogram.get_total_count()

    def add(self, time_ms):
        """Record a value in milliseconds."""
        self._histogram.record_value(max(int(time_ms * _US_PER_MS), _MIN_US))

    def percentile(self, percent):
        """Return a percentile in milliseconds."""
        time_us = self._histogram.get_value_at_percentile(percent)
        return time_us / _US_PER_MS

    def mean(self):
        """Return the mean in milliseconds."""
        return self._histogram.get_mean_value() / _US_PER_MS

    def summarise(self):
        """Return the count, mean and percentiles as a map of rounded numbers."""
        if not self.count:
            return {'count': 0}
        rounded_percentiles = {
            f'p{percent}': round(self.percentile(percent), 2)
            for percent in _PERCENTILES
        }
        return {
            'count': self.count,
            'mean': round(self.mean(), 2),
            **rounded_percentiles,
        }


class LoadReport:
    """Outcomes and latencies of the requests of a load run."""

    def __init__(self, unloaded_ms):
        """Create an empty report.

        Args:
          unloaded_ms: A map from length band to the time to first token on an
            idle fleet; bands may be missing.
        """
        self._unloaded_ms = unloaded_ms
        self._first_token = {band: Distribution() for band in length_bands()}
        self._slowdown = {band: Distribution() for band in length_bands()}
        self._outcomes = Counter()
        self._codes = Counter()
        self._wrong_answers = 0

    def record(self, tokens, call_result, expected):
        """Record the result of a request.

        Args:
          tokens: The prompt length in tokens.
          call_result: A CallResult.
          expected: The correct answer, or None to skip the check.
        """
        self._outcomes[call_result.outcome.value] += 1
        if not call_result.is_ok:
            self._codes[call_result.code] += 1
            return
        if expected is not None and call_result.text != expected:
            self._wrong_answers += 1
        band = length_band(tokens)
        self._first_token[band].add(call_result.first_token_ms)
        unloaded_ms = self._unloaded_ms.get(band)
        if unloaded_ms:
            self._slowdown[band].add(call_result.first_token_ms / unloaded_ms)

    @property
    def has_faults(self):
        """Whether an answer was wrong or an admitted request failed, a bool."""
        failed = self._outcomes['failed'] + self._outcomes['unknown']
        return bool(self._wrong_answers or failed)

    def summarise(self):
        """Return the report as a JSON-serialisable map."""
        return {
            'asked': sum(self._outcomes.values()),
            'outcomes': dict(self._outcomes),
            'codes': dict(self._codes),
            'wrong_answers': self._wrong_answers,
            'first_token_ms': _by_band(self._first_token),
            'slowdown': _by_band(self._slowdown),
            'alone_ms': self._unloaded_ms,
        }


def plot_report(document, path):
    """Plot time to first token and slowdown by length band.

    Args:
      document: The map from LoadReport.summarise.
      path: The path of the PNG file.
    Raises:
      ImportError: If the extra `plot` is not installed.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415  (optional dependency)

    figure = Figure(figsize=(9, 4))
    charts = figure.subplots(1, 2)
    _draw_bars(charts[0], document['first_token_ms'], 'time to first token, ms')
    _draw_bars(
        charts[1], document['slowdown'], 'slowdown relative to an idle fleet'
    )
    figure.tight_layout()
    figure.savefig(path)


def _draw_bars(chart, bands, title):
    nonempty_bands = [band for band in length_bands() if band in bands]
    for position, percent in enumerate(_PERCENTILES):
        heights = [bands[name][f'p{percent}'] for name in nonempty_bands]
        left_edges = [
            index + position * _BAR_WIDTH
            for index in range(len(nonempty_bands))
        ]
        chart.bar(left_edges, heights, width=_BAR_WIDTH, label=f'p{percent}')
    chart.set_xticks(
        [index + _BAR_WIDTH for index in range(len(nonempty_bands))],
        nonempty_bands,
    )
    chart.set_yscale('log')
    chart.set_title(title)
    chart.set_xlabel('prompt length, tokens')
    chart.legend()


def _by_band(distributions):
    return {
        band: distribution.summarise()
        for band, distribution in distributions.items()
        if distribution.count
    }
