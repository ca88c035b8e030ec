"""Runs a mix of requests under one routing policy, in virtual time."""

from functools import partial
from statistics import mean

from bench.local_fleet import LocalFleet
from crankchute.core.job import length_band, length_bands
from crankchute.load.mix import Part, make_prompt, plan_arrivals
from crankchute.load.report import Distribution

ENGINE_COUNT = 9
SHORT = '1-4k'
#: The policy that crankchute uses.
DEFAULT_POLICY = 'earliest-start'
#: The name of a run with one dispatcher and almost current load reports.
EXACT = 'exact'
_INSTANCE_COUNT = 3
_REPORT_LAG_MS = 250
_EXACT_REPORT_LAG_MS = 10
_DURATION_S = 25
_DRAIN_MS = 40_000
_MEAN_TOKENS = 15_000
#: The length of shared prefixes; prompts from this length up to the limit
#: below start with one.
_PREFIX_TOKENS = 16_384
_MAX_PREFIXED_TOKENS = 100_000
_MS_PER_SECOND = 1000
_MIX = (
    Part(
        {
            'account': 'acc',
            'class': 'any',
            'weight': 80,
            'tokens': [1000, 4000],
            'max_tokens': 8,
            'deadline_ms': 8000,
        }
    ),
    Part(
        {
            'account': 'acc',
            'class': 'any',
            'weight': 18,
            'tokens': [4000, 100_000],
            'max_tokens': 8,
            'deadline_ms': 20_000,
        }
    ),
    Part(
        {
            'account': 'acc',
            'class': 'any',
            'weight': 2,
            'tokens': [100_000, 1_000_000],
            'max_tokens': 8,
            'deadline_ms': 40_000,
        }
    ),
)


class Trial:
    """The parameters of a run.

    Attributes:
      policy: The name of a routing policy, or EXACT.
      load: The offered load, relative to the capacity of the fleet.
      seed: An int.
      failures: How many engines fail after a third of the run.
      only_short: Whether only the short prompts are sent; their arrival times
        stay the same.
      prefixes: The number of distinct shared prefixes of medium-length
        prompts, or 0 for none.
    """

    __slots__ = (
        'failures',
        'load',
        'only_short',
        'policy',
        'prefixes',
        'seed',
    )

    def __init__(self, policy, load, seed, failures=0, **options):
        """Create the trial.

        Args:
          policy: See the class.
          load: See the class.
          seed: See the class.
          lost: See the class.
          details: `only_short` and `prefixes`, see the class.
        """
        self.policy = policy
        self.load = load
        self.seed = seed
        self.failures = failures
        self.only_short = options.get('only_short', False)
        self.prefixes = options.get('prefixes', 0)


def run_trial(trial):
    """Run a trial.

    Args:
      trial: A Trial.
    Returns:
      A map of measurements; times in milliseconds.
    """
    fleet = _make_fleet(trial.policy)
    for number, arrival in enumerate(_generate_arrivals(trial, fleet.rate)):
        prompt = _build_prompt(trial, number, arrival.tokens)
        submit = partial(fleet.submit, number, arrival, prompt)
        fleet.timers.after(arrival.at_ms, submit)
    if trial.failures:
        at_ms = _DURATION_S * _MS_PER_SECOND / 3
        fleet.timers.after(at_ms, partial(fleet.lose, trial.failures))
    fleet.timers.advance(_DURATION_S * _MS_PER_SECOND + _DRAIN_MS)
    return _summarise(fleet.sinks)


def _build_prompt(trial, number, tokens):
    if (
        not trial.prefixes
        or not _PREFIX_TOKENS <= tokens < _MAX_PREFIXED_TOKENS
    ):
        return make_prompt(tokens, number)
    prefix = make_prompt(_PREFIX_TOKENS, f'opening-{number % trial.prefixes}')
    return prefix + make_prompt(tokens - _PREFIX_TOKENS, number)


def _make_fleet(policy):
    if policy == EXACT:
        return LocalFleet(ENGINE_COUNT, 1, DEFAULT_POLICY, _EXACT_REPORT_LAG_MS)
    return LocalFleet(ENGINE_COUNT, _INSTANCE_COUNT, policy, _REPORT_LAG_MS)


def _generate_arrivals(trial, rate):
    """Generate arrivals, rescaled in time to the exact load of the trial."""
    per_second = trial.load * rate * _MS_PER_SECOND / _MEAN_TOKENS
    arrivals = plan_arrivals(list(_MIX), per_second, _DURATION_S, trial.seed)
    offered = sum(arrival.tokens for arrival in arrivals)
    target = trial.load * rate * _DURATION_S * _MS_PER_SECOND
    time_scale = offered / target
    for arrival in arrivals:
        arrival.at_ms *= time_scale
    if trial.only_short:
        return [one for one in arrivals if length_band(one.tokens) == SHORT]
    return arrivals


def _summarise(sinks):
    """Summarise a run; unanswered requests count as waiting to the deadline."""
    first_token = {band: Distribution() for band in length_bands()}
    answered = [sink for sink in sinks if sink.count is not None]
    waits_ms = [_compute_wait_ms(sink) for sink in sinks]
    for request_sink, wait_ms in zip(sinks, waits_ms):
        first_token[length_band(request_sink.job.tokens)].add(wait_ms)
    return {
        'first': {band: one.summarise() for band, one in first_token.items()},
        'mean': mean(waits_ms),
        'good_share': len(answered) / len(sinks),
        'good_tokens': sum(sink.job.tokens for sink in answered),
    }


def _compute_wait_ms(sink):
    end_ms = sink.job.deadline_ms if sink.count is None else sink.first_ms
    return end_ms - sink.job.arrived_ms
