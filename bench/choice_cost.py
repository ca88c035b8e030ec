"""Benchmark of the engine chooser, by number of engines and prompt length.

Most engines are decoding answers.  Prints the median CPU time of a choice in
milliseconds:

    python -m bench.choice_cost
"""

import random
import statistics
import time

from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_fakes import (
    make_backends,
    make_chooser_parts,
    make_job,
)
from crankchute.core.forward_job import PromptSize

_ENGINE_COUNTS = (18, 60, 150, 600, 2900)
_PROMPT_TOKENS = (5_000, 100_000, 500_000)
_REPEATS = 15
_DECODING_SHARE = 2 / 3
_MS_PER_SECOND = 1000
_GOAL_MS = 2500


def make_chooser(engines, seed):
    """Return an EngineChooser over engines of which most are decoding.

    Args:
      engines: The number of engines.
      seed: The seed of the random numbers.
    """
    backends = make_backends(engines)
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(seed)
    for backend in backends:
        if parts.random.random() < _DECODING_SHARE:
            key = f'writer-{backend.identity}'
            parts.work_tracker.add(make_work_item(key, backend.identity))
            parts.work_tracker.start(backend.identity, key)
    return EngineChooser(parts)


def measure_choice(engines, tokens):
    """Return the median CPU time of a choice, in milliseconds.

    Args:
      engines: The number of engines.
      tokens: The prompt length in tokens.
    """
    chooser = make_chooser(engines, engines)
    job = make_job(size=PromptSize(tokens, 1000), goal_ms=_GOAL_MS)
    samples = []
    for _ in range(_REPEATS):
        started = time.process_time()
        chooser.choose(job, set())
        samples.append((time.process_time() - started) * _MS_PER_SECOND)
    return statistics.median(samples)


def main():
    """Print a row for each number of engines."""
    print(
        '| engines |',
        ' | '.join(f'{tokens:,}' for tokens in _PROMPT_TOKENS),
        '|',
    )
    print('|---' * (len(_PROMPT_TOKENS) + 1), end='|\n')
    for engines in _ENGINE_COUNTS:
        costs = [measure_choice(engines, tokens) for tokens in _PROMPT_TOKENS]
        print('|', engines, *(f'| {cost:.2f}' for cost in costs), '|')


if __name__ == '__main__':
    main()
