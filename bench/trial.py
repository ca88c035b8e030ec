"""One run of a mix of requests in virtual time, for one policy."""

from functools import partial
from statistics import mean

from bench.local_fleet import LocalFleet
from crankchute.core.job import length_band, length_bands
from crankchute.load.mix import Part, make_prompt, plan_arrivals
from crankchute.load.report import Distribution

ENGINES = 9
SHORT = '1-4k'
#: The policy that is chosen, and the name of a run with exact knowledge.
CHOSEN = 'earliest-start'
EXACT = 'exact'
_INSTANCES = 3
_LAG_MS = 250
_EXACT_LAG_MS = 10
_DURATION_S = 25
_TAIL_MS = 40_000
_MEAN_TOKENS = 15_000
#: The length of shared openings, and the prompts that have one.
_OPENING = 16_384
_LARGEST_OPENED = 100_000
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
    """One run: a policy, a load, a seed, and what is lost.

    Attributes:
      policy: A routing policy's name, or "exact" for a single dispatcher
        that knows every engine's load at once.
      load: Offered load as a part of the fleet's capacity.
      seed: An int.
      lost: How many engines are lost after a third of the time.
      only_short: Whether the longer parts of the mix are left out, at the
        same times of the short ones.
      prefixes: If not 0, among how many openings prompts of middling length
        choose; those of 16k tokens to 100k have one.
    """

    __slots__ = ('load', 'lost', 'only_short', 'policy', 'prefixes', 'seed')

    def __init__(self, policy, load, seed, lost=0, **details):
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
        self.lost = lost
        self.only_short = details.get('only_short', False)
        self.prefixes = details.get('prefixes', 0)


def run_trial(trial):
    """Run one trial.

    Args:
      trial: A Trial.
    Returns:
      A map of figures; times in milliseconds.
    """
    fleet = _make_fleet(trial.policy)
    for number, arrival in enumerate(_plan(trial, fleet.rate)):
        prompt = _write_prompt(trial, number, arrival.tokens)
        submit = partial(fleet.submit, number, arrival, prompt)
        fleet.timers.after(arrival.at_ms, submit)
    if trial.lost:
        at_ms = _DURATION_S * _MS_PER_SECOND / 3
        fleet.timers.after(at_ms, partial(fleet.lose, trial.lost))
    fleet.timers.advance(_DURATION_S * _MS_PER_SECOND + _TAIL_MS)
    return _summarise(fleet.sinks)


def _write_prompt(trial, number, tokens):
    if not trial.prefixes or not _OPENING <= tokens < _LARGEST_OPENED:
        return make_prompt(tokens, number)
    opening = make_prompt(_OPENING, f'opening-{number % trial.prefixes}')
    return opening + make_prompt(tokens - _OPENING, number)


def _make_fleet(policy):
    if policy == EXACT:
        return LocalFleet(ENGINES, 1, CHOSEN, _EXACT_LAG_MS)
    return LocalFleet(ENGINES, _INSTANCES, policy, _LAG_MS)


def _plan(trial, rate):
    """Draw arrivals whose prompts add up to the load that is wanted."""
    per_second = trial.load * rate * _MS_PER_SECOND / _MEAN_TOKENS
    arrivals = plan_arrivals(list(_MIX), per_second, _DURATION_S, trial.seed)
    offered = sum(arrival.tokens for arrival in arrivals)
    wanted = trial.load * rate * _DURATION_S * _MS_PER_SECOND
    stretch = offered / wanted
    for arrival in arrivals:
        arrival.at_ms *= stretch
    if trial.only_short:
        return [one for one in arrivals if length_band(one.tokens) == SHORT]
    return arrivals


def _summarise(sinks):
    """Sum a run up; a request without an answer waited for its deadline."""
    first = {band: Distribution() for band in length_bands()}
    whole = [sink for sink in sinks if sink.count is not None]
    waits = [_wait_of(sink) for sink in sinks]
    for asked, waited in zip(sinks, waits):
        first[length_band(asked.job.tokens)].add(waited)
    return {
        'first': {band: one.summarise() for band, one in first.items()},
        'mean': mean(waits),
        'good_share': len(whole) / len(sinks),
        'good_tokens': sum(sink.job.tokens for sink in whole),
    }


def _wait_of(sink):
    end_ms = sink.job.deadline_ms if sink.count is None else sink.first_ms
    return end_ms - sink.job.arrived_ms
