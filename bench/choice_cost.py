"""What choosing engines costs, by their number and the prompt's length.

Two thirds of the engines write.  Prints the median of some choices, in
milliseconds of processor, in a process of its own:

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

_SIZES = (18, 60, 150, 600, 2900)
_PROMPTS = (5_000, 100_000, 500_000)
_CHOICES = 15
_WRITING = 2 / 3
_MS_PER_SECOND = 1000
_GOAL_MS = 2500


def make_chooser(engines, seed):
    """Return an EngineChooser over engines of which two thirds write.

    Args:
      engines: How many.
      seed: Of the random numbers.
    """
    backends = make_backends(engines)
    parts = make_chooser_parts(ManualTimers(), lambda: backends)
    parts.random = random.Random(seed)
    for backend in backends:
        if parts.random.random() < _WRITING:
            key = f'writer-{backend.identity}'
            parts.work_tracker.add(make_work_item(key, backend.identity))
            parts.work_tracker.start(backend.identity, key)
    return EngineChooser(parts)


def measure_choice(engines, tokens):
    """Return the median processor time of a choice, in milliseconds.

    Args:
      engines: How many there are.
      tokens: The prompt's length.
    """
    chooser = make_chooser(engines, engines)
    job = make_job(size=PromptSize(tokens, 1000), goal_ms=_GOAL_MS)
    spent = []
    for _ in range(_CHOICES):
        began = time.process_time()
        chooser.choose(job, set())
        spent.append((time.process_time() - began) * _MS_PER_SECOND)
    return statistics.median(spent)


def main():
    """Print a row for each number of engines."""
    print('| engines |', ' | '.join(f'{one:,}' for one in _PROMPTS), '|')
    print('|---' * (len(_PROMPTS) + 1), end='|\n')
    for engines in _SIZES:
        costs = [measure_choice(engines, one) for one in _PROMPTS]
        print('|', engines, *(f'| {cost:.2f}' for cost in costs), '|')


if __name__ == '__main__':
    main()
