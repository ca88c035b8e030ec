"""What a run measured: histograms by length band, as JSON and as a plot."""

from collections import Counter

from hdrh.histogram import HdrHistogram

from crankchute.core.job import length_band, length_bands

_LOWEST = 1
_HIGHEST = 600_000_000
_DIGITS = 3
_US_PER_MS = 1000
_PERCENTILES = (50, 95, 99)
_BAR_WIDTH = 0.25


class Distribution:
    """A histogram of milliseconds, kept to three digits."""

    def __init__(self):
        """Create an empty distribution."""
        self._histogram = HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)

    @property
    def count(self):
        """How many values were added."""
        return self._histogram.get_total_count()

    def add(self, time_ms):
        """Add a value in milliseconds."""
        self._histogram.record_value(max(int(time_ms * _US_PER_MS), _LOWEST))

    def percentile(self, percent):
        """Return a percentile in milliseconds."""
        time_us = self._histogram.get_value_at_percentile(percent)
        return time_us / _US_PER_MS

    def mean(self):
        """Return the mean in milliseconds."""
        return self._histogram.get_mean_value() / _US_PER_MS

    def summarise(self):
        """Return the percentiles and the mean, a map of rounded numbers."""
        if not self.count:
            return {'count': 0}
        numbers = {
            f'p{percent}': round(self.percentile(percent), 2)
            for percent in _PERCENTILES
        }
        return {'count': self.count, 'mean': round(self.mean(), 2), **numbers}


class LoadReport:
    """What became of the requests of a run."""

    def __init__(self, alone_ms):
        """Create an empty report.

        Args:
          alone_ms: A map from band to the time to first token of a request
            of that band that has the fleet for itself; may lack bands.
        """
        self._alone_ms = alone_ms
        self._first = {band: Distribution() for band in length_bands()}
        self._slowdown = {band: Distribution() for band in length_bands()}
        self._outcomes = Counter()
        self._codes = Counter()
        self._wrong = 0

    def note(self, tokens, end, wanted):
        """Take the end of a request.

        Args:
          tokens: The prompt's length.
          end: A CallResult.
          wanted: The whole answer that is right, or None if not checked.
        """
        self._outcomes[end.outcome.value] += 1
        if not end.is_ok:
            self._codes[end.code] += 1
            return
        if wanted is not None and end.text != wanted:
            self._wrong += 1
        band = length_band(tokens)
        self._first[band].add(end.first_token_ms)
        alone_ms = self._alone_ms.get(band)
        if alone_ms:
            self._slowdown[band].add(end.first_token_ms / alone_ms)

    @property
    def has_faults(self):
        """Whether an answer was wrong or an admitted request failed."""
        bad = self._outcomes['failed'] + self._outcomes['unknown']
        return bool(self._wrong or bad)

    def summarise(self):
        """Return the report as a JSON document."""
        return {
            'asked': sum(self._outcomes.values()),
            'outcomes': dict(self._outcomes),
            'codes': dict(self._codes),
            'wrong_answers': self._wrong,
            'first_token_ms': _by_band(self._first),
            'slowdown': _by_band(self._slowdown),
            'alone_ms': self._alone_ms,
        }


def plot_report(document, path):
    """Draw time to first token and slowdown by length band.

    Args:
      document: What LoadReport.summarise returned.
      path: Where the PNG goes.
    Raises:
      ImportError: If the extra `plot` is not installed.
    """
    from matplotlib.figure import Figure  # noqa: PLC0415  (an extra)

    figure = Figure(figsize=(9, 4))
    charts = figure.subplots(1, 2)
    _draw_bars(charts[0], document['first_token_ms'], 'ms to first token')
    _draw_bars(charts[1], document['slowdown'], 'times the time alone')
    figure.tight_layout()
    figure.savefig(path)


def _draw_bars(chart, bands, title):
    names = [band for band in length_bands() if band in bands]
    for place, percent in enumerate(_PERCENTILES):
        heights = [bands[name][f'p{percent}'] for name in names]
        starts = [index + place * _BAR_WIDTH for index in range(len(names))]
        chart.bar(starts, heights, width=_BAR_WIDTH, label=f'p{percent}')
    chart.set_xticks([index + _BAR_WIDTH for index in range(len(names))], names)
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
