"""Disables a mechanism in a copy of the source code, for experiments.

The source is patched, so the product needs no switches for this and the copy
has no other differences.

    python -m bench.ablations               # list the names
    python -m bench.ablations NAME DIR      # disable NAME in the copy in DIR
"""

import sys
from pathlib import Path

from crankchute.core.registry import Registry

#: Ablations by the name of the mechanism that they disable.
mechanisms = Registry()
_CORE = 'crankchute/core'
_NODE = 'crankchute/platform/node.py'


class Ablation:
    """A change of the source that disables a mechanism.

    Attributes:
      path: The path of the file, relative to the repository root.
      replaced: The text to replace, which occurs exactly once in the file.
      replacement: The new text.
    """

    __slots__ = ('path', 'replaced', 'replacement')

    def __init__(self, path, replaced, replacement):
        """Create the ablation.

        Args:
          path: See the class.
          replaced: See the class.
          replacement: See the class.
        """
        self.path = path
        self.replaced = replaced
        self.replacement = replacement

    def apply(self, root):
        """Patch the file in a copy of the repository.

        Args:
          root: The root directory of the copy, a Path.
        Raises:
          ValueError: If the text does not occur exactly once in the file.
        """
        target = root / self.path
        text = target.read_text()
        if text.count(self.replaced) != 1:
            raise ValueError(
                f'{self.path}: {self.replaced!r} is not there once'
            )
        target.write_text(text.replace(self.replaced, self.replacement))


def _register(name, path, replaced, replacement):
    mechanisms.register(name)(Ablation(path, replaced, replacement))


_register(
    'sharing of news',
    f'{_CORE}/peer_exchange.py',
    'self._outbox.append(WorkChange(change, work))',
    'WorkChange(change, work)',
)
_register(
    'all work at once',
    f'{_CORE}/work_feed.py',
    'if self._owes_snapshot:',
    'if self._owes_snapshot and not self:',
)
_register(
    'followers',
    f'{_CORE}/peer_exchange.py',
    '_MAX_FOLLOWERS = 9',
    '_MAX_FOLLOWERS = 0',
)
_register(
    'few active instances',
    f'{_CORE}/active_choice.py',
    '_MIN_ACTIVE = 3',
    '_MIN_ACTIVE = 99',
)
_register(
    'reports at the start',
    f'{_CORE}/initial_load_poll.py',
    '_MAX_POLLED = 64',
    '_MAX_POLLED = 0',
)
_register(
    'load told on answers',
    f'{_CORE}/forward_attempt.py',
    'if head.load is not None:',
    'if head.load is not None and not self:',
)
_register(
    'joint reading',
    f'{_CORE}/engine_chooser.py',
    'job, available, self.now_ms()\n            )\n        ]',
    'job, available, self.now_ms()\n            )[:1]\n        ]',
)
_register(
    'memory set aside',
    f'{_CORE}/engine_plans.py',
    '_MAX_MEMORY_SHARE = 0.5',
    '_MAX_MEMORY_SHARE = 99',
)
_register(
    'engines kept for long prompts',
    f'{_CORE}/engine_chooser.py',
    '_RESERVED_ENGINE_COST = 0.12',
    '_RESERVED_ENGINE_COST = 0',
)
_register(
    'harm to others',
    f'{_CORE}/engine_plans.py',
    'return sum(weights.values())',
    'return 0 * sum(weights.values())',
)
_register(
    'harm to what waits',
    f'{_CORE}/engine_plans.py',
    'if is_prioritized:',
    'if is_prioritized and not self:',
)
_register(
    'refusals for harm',
    f'{_CORE}/prompt_admission.py',
    'return is_worth_admitting(estimate, excess)',
    'return True',
)
_register(
    'suspicion',
    f'{_CORE}/failure_estimator.py',
    'return failures / (failures + successes + _PRIOR_SUCCESSES)',
    'return 0 * (failures + successes)',
)
_register(
    'slowness',
    f'{_CORE}/engine_work.py',
    'return 1 + (self._slowness - 1) * decay',
    'return 1 + 0 * decay',
)
_register(
    'breaker',
    f'{_CORE}/breaker.py',
    'return not self._has_trial and now_ms >= self._retry_at_ms',
    'return now_ms > 0',
)
_register(
    'overdue signs',
    f'{_CORE}/fleet.py',
    'if sent_ms >= self.judged_from_ms:\n'
    + '            self.failure_estimator.record_failure(now_ms)',
    'if sent_ms >= self.judged_from_ms:\n'
    + '            self.failure_estimator.record_failure(now_ms, 0)',
)
_register(
    'probing of silent hosts',
    'crankchute/adapters/connection_hub.py',
    'sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)',
    'sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 0)',
)
_register(
    'early requests',
    _NODE,
    '_FIRST_READ_WAIT_MS = 60',
    '_FIRST_READ_WAIT_MS = 0',
)
_register(
    'retries of 500',
    f'{_CORE}/forward_flow.py',
    'may_retry = is_server_error and self.job.may_retry',
    'may_retry = False',
)


def main(arguments):
    """List the mechanisms, or disable one in a copy.

    Args:
      arguments: Either empty, or a name and a directory.
    Returns:
      The exit code.
    """
    if not arguments:
        print('\n'.join(mechanisms))
        return 0
    name, root = arguments
    if name not in mechanisms:
        print(f'unknown mechanism {name!r}')
        return 2
    mechanisms[name].apply(Path(root))
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
