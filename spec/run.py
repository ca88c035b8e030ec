"""Checks the models and their mutations: `make model`.

For each invariant, prints whether it holds, the number of visited states and
whether the search was exhaustive.  For each mutation, which removes one guard,
prints the length of the counterexample.
"""

import sys

from minicheck import Protocol, check_safety

from spec import answers, engines, once, revisions

MODELS = (once, revisions, engines, answers)
MAX_STATES = 400_000


class Finding:
    """The result of the search for one invariant.

    Attributes:
      holds: A bool, or None if the search was not exhaustive.
      states: The number of visited states, an int.
      trace: The labels of a shortest counterexample, or None.
    """

    __slots__ = ('holds', 'states', 'trace')

    def __init__(self, verdict, states):
        """Create the finding.

        Args:
          verdict: The result of minicheck for the invariant, a map.
          states: The number of visited states.
        """
        self.holds = verdict['holds']
        self.states = states
        steps = verdict.get('counterexample')
        self.trace = steps and [step.get('label') for step in steps]


def check_model(model, guards):
    """Check the invariants of a model.

    Args:
      model: A module of this package.
      guards: The names of the active guards, a frozenset.
    Returns:
      A map from the name of each invariant to its Finding.
    """
    protocol = Protocol(
        name=model.__name__,
        candidate=False,
        fields=model.State._fields,
        initial=model.State(),
        transitions=lambda state: model.list_steps(state, guards),
        invariants=model.INVARIANTS,
    )
    report = check_safety(protocol, max_states=MAX_STATES)
    states = report['reachable_states']
    return {
        invariant: Finding(verdict, states)
        for invariant, verdict in report['properties'].items()
    }


def report_model(model):
    """Print the result for each invariant; return whether all hold."""
    all_hold = True
    for invariant, finding in check_model(model, model.GUARDS).items():
        extent = 'exhaustive'
        if finding.holds is None:
            extent = f'stopped at {MAX_STATES} states'
        status = 'holds' if finding.holds else 'fails'
        print(f'{status}  {invariant}: {finding.states} states, {extent}')
        all_hold = all_hold and finding.holds is True
    return all_hold


def report_mutations(model):
    """Print the result for each mutation; return whether all were detected."""
    all_detected = True
    for guard, invariant in model.MUTATIONS:
        finding = check_model(model, model.GUARDS - {guard})[invariant]
        is_detected = finding.holds is False
        steps = len(finding.trace) - 1 if is_detected else 0
        status = 'detected' if is_detected else 'UNDETECTED'
        print(f'{status}  without {guard}: {invariant}, {steps} steps')
        all_detected = all_detected and is_detected
    return all_detected


def main():
    """Check all models and mutations; return the exit code."""
    successes = []
    for model in MODELS:
        print(f'--- {model.__name__}')
        successes.append(report_model(model))
        successes.append(report_mutations(model))
    return 0 if all(successes) else 1


if __name__ == '__main__':
    sys.exit(main())
