"""`make model`: checks the models, and that their mutations are found.

Prints for each invariant whether it holds, how many states were visited and
whether the search was complete; then for each mutation, which drops one
guard, the length of the counter-example.
"""

import sys

from minicheck import Protocol, check_safety

from spec import answers, engines, once, revisions

MODELS = (once, revisions, engines, answers)
MAX_STATES = 400_000


class Finding:
    """What a search said of one invariant.

    Attributes:
      holds: True, False, or None if the search did not end.
      states: How many states were visited, an int.
      trace: The labels of a shortest counter-example, or None.
    """

    __slots__ = ('holds', 'states', 'trace')

    def __init__(self, verdict, states):
        """Create the record.

        Args:
          verdict: What minicheck says of the invariant, a map.
          states: How many states were visited.
        """
        self.holds = verdict['holds']
        self.states = states
        steps = verdict.get('counterexample')
        self.trace = steps and [step.get('label') for step in steps]


def check_model(model, guards):
    """Search a model with some guards in effect.

    Args:
      model: A module of this package.
      guards: The names of the guards, a frozenset.
    Returns:
      A map from invariant to Finding.
    """
    protocol = Protocol(
        name=model.__name__,
        candidate=False,
        fields=model.State._fields,
        initial=model.State(),
        transitions=lambda state: model.list_steps(state, guards),
        invariants=model.INVARIANTS,
    )
    found = check_safety(protocol, max_states=MAX_STATES)
    states = found['reachable_states']
    return {
        name: Finding(verdict, states)
        for name, verdict in found['properties'].items()
    }


def report_model(model):
    """Print a line for each invariant of a model; return whether all hold."""
    all_hold = True
    for name, finding in check_model(model, model.GUARDS).items():
        extent = 'complete'
        if finding.holds is None:
            extent = f'bounded by {MAX_STATES} states'
        word = 'holds' if finding.holds else 'fails'
        print(f'{word}  {name}: {finding.states} states, {extent}')
        all_hold = all_hold and finding.holds is True
    return all_hold


def report_mutations(model):
    """Print a line for each mutation; return whether all were found."""
    all_found = True
    for guard, name in model.MUTATIONS:
        finding = check_model(model, model.GUARDS - {guard})[name]
        is_found = finding.holds is False
        steps = len(finding.trace) - 1 if is_found else 0
        word = 'found' if is_found else 'SURVIVED'
        print(f'{word}  without {guard}: {name}, {steps} steps')
        all_found = all_found and is_found
    return all_found


def main():
    """Check all models and mutations."""
    verdicts = []
    for model in MODELS:
        print(f'--- {model.__name__}')
        verdicts.append(report_model(model))
        verdicts.append(report_mutations(model))
    return 0 if all(verdicts) else 1


if __name__ == '__main__':
    sys.exit(main())
