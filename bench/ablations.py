"""Leaves one mechanism out of a copy of the code, for experiments.

Nothing of this is in the product: a mechanism is left out by a change of its
source, so a copy differs in nothing else.

    python -m bench.ablations               # the names
    python -m bench.ablations NAME DIR      # leave NAME out of the copy in DIR
"""

import sys
from pathlib import Path

from crankchute.core.registry import Registry

#: Changes by the name of the mechanism that they leave out.
mechanisms = Registry()
_CORE = 'crankchute/core'
_NODE = 'crankchute/platform/node.py'


class Ablation:
    """A change that leaves a mechanism out.

    Attributes:
      path: The file, relative to the repository.
      replaced: A text that stands once in it.
      replacement: What takes its place.
    """

    __slots__ = ('path', 'replaced', 'replacement')

    def __init__(self, path, replaced, replacement):
        """Create the change.

        Args:
          path: See the class.
          replaced: See the class.
          replacement: See the class.
        """
        self.path = path
        self.replaced = replaced
        self.replacement = replacement

    def apply(self, root):
        """Change the file of a copy.

        Args:
          root: The copy's directory, a Path.
        Raises:
          ValueError: If the text does not stand in the file exactly once.
        """
        path = root / self.path
        text = path.read_text()
        if text.count(self.replaced) != 1:
            raise ValueError(
                f'{self.path}: {self.replaced!r} is not there once'
            )
        path.write_text(text.replace(self.replaced, self.replacement))


def _leave_out(name, path, replaced, replacement):
    mechanisms.register(name)(Ablation(path, replaced, replacement))


_leave_out(
    'sharing of news',
    f'{_CORE}/sharing.py',
    'self._outbox.append(WorkNews(change, work))',
    'WorkNews(change, work)',
)
_leave_out(
    'all work at once',
    f'{_CORE}/work_feed.py',
    'if self._owes_snapshot:',
    'if self._owes_snapshot and not self:',
)
_leave_out(
    'followers',
    f'{_CORE}/sharing.py',
    '_MAX_FOLLOWERS = 9',
    '_MAX_FOLLOWERS = 0',
)
_leave_out(
    'few active instances',
    f'{_CORE}/active_choice.py',
    '_MIN_ACTIVE = 3',
    '_MIN_ACTIVE = 99',
)
_leave_out(
    'reports at the start',
    f'{_CORE}/load_survey.py',
    '_MAX_POLLED = 64',
    '_MAX_POLLED = 0',
)
_leave_out(
    'load told on answers',
    f'{_CORE}/forward_attempt.py',
    'if head.load is not None:',
    'if head.load is not None and not self:',
)
_leave_out(
    'joint reading',
    f'{_CORE}/engine_chooser.py',
    'max_parts = min(_MAX_PARTS, len(available))',
    'max_parts = min_parts',
)
_leave_out(
    'memory set aside',
    f'{_CORE}/engine_plans.py',
    '_MAX_MEMORY_SHARE = 0.5',
    '_MAX_MEMORY_SHARE = 99',
)
_leave_out(
    'engines kept for long prompts',
    f'{_CORE}/engine_chooser.py',
    '_RESERVED_ENGINE_COST = 0.12',
    '_RESERVED_ENGINE_COST = 0',
)
_leave_out(
    'harm to others',
    f'{_CORE}/engine_plans.py',
    'return sum(weights.values())',
    'return 0 * sum(weights.values())',
)
_leave_out(
    'harm to what waits',
    f'{_CORE}/engine_plans.py',
    'if goes_first:',
    'if goes_first and not self:',
)
_leave_out(
    'refusals for harm',
    f'{_CORE}/prompt_admission.py',
    'is_admitted = is_underserved or is_worth_admitting(estimate)',
    'is_admitted = True',
)
_leave_out(
    'suspicion',
    f'{_CORE}/suspicion.py',
    'return failures / (failures + successes + _PRIOR_SUCCESSES)',
    'return 0 * (failures + successes)',
)
_leave_out(
    'slowness',
    f'{_CORE}/engine_board.py',
    'return 1 + (self._slowness - 1) * decay',
    'return 1 + 0 * decay',
)
_leave_out(
    'breaker',
    f'{_CORE}/breaker.py',
    'return not self._has_trial and now_ms >= self._retry_at_ms',
    'return now_ms > 0',
)
_leave_out(
    'overdue signs',
    f'{_CORE}/forward_attempt.py',
    'self.backend.suspicion.note_failure(self._desk.now_ms())',
    'self.backend.suspicion.note_failure(self._desk.now_ms(), 0)',
)
_leave_out(
    'probing of silent hosts',
    'crankchute/adapters/sockets.py',
    'sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)',
    'sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)',
)
_leave_out(
    'early requests',
    _NODE,
    '_FIRST_READ_WAIT_MS = 60',
    '_FIRST_READ_WAIT_MS = 0',
)
_leave_out(
    'retries of 500',
    f'{_CORE}/forward_flow.py',
    'may_repeat = is_fault and self.job.may_repeat',
    'may_repeat = False',
)


def main(arguments):
    """Print the names, or leave one mechanism out of a copy.

    Args:
      arguments: Nothing, or a name and a directory.
    Returns:
      The exit code.
    """
    if not arguments:
        print('\n'.join(mechanisms))
        return 0
    name, root = arguments
    if name not in mechanisms:
        print(f'there is no mechanism {name!r}')
        return 2
    mechanisms[name].apply(Path(root))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
