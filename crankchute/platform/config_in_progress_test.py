"""Tests of requests in progress while the configuration changes."""

from types import MappingProxyType

import pytest

from crankchute.platform.standin_paced import Ending
from crankchute.platform.standin_stop import POOL, StoppingInstance

_TAKES_MS = 1500
_ENGINE = MappingProxyType(
    {
        'slots': 8,
        'kv-capacity-tokens': 232_000,
        'step_ms': 1,
        'read_per_s': 206_000,
    }
)


def run_change(kind, changes):
    """Change the configuration while a server works on a request.

    Args:
      kind: The kind of the request.
      changes: Arguments of StoppingInstance.configure, a dict.
    Returns:
      The StoppingInstance and its Caller.
    """
    instance = StoppingInstance()
    caller = instance.send(f'/{kind}/?ms={_TAKES_MS}')
    instance.run_for(200)
    instance.configure(**changes)
    instance.run_for(_TAKES_MS)
    return instance, caller


@pytest.mark.parametrize('kind', ['once', 'again', 'stream'])
@pytest.mark.parametrize(
    'changes',
    [
        {'kinds': {}},
        {'services': ()},
        {'services': (), 'kinds': {}},
        {'services': ({'name': 'other'},), 'service': 'other'},
        {'services': ({'name': POOL, 'engine': {**_ENGINE}},)},
        {'timeout-ms': 500},
        {'target-latency-ms': 10, 'gap_aim_ms': 10},
        {'max-attempts': 1},
        {'kind': 'idempotent'},
        {'kind': 'streaming'},
    ],
)
def test_changed_configuration_ends_a_request_in_progress(kind, changes):
    instance, caller = run_change(kind, changes)
    assert caller.ending == Ending.WHOLE
    assert instance.server.runs == {caller.request_id}
    assert not instance.node.desk.in_progress


@pytest.mark.parametrize(
    ('changes', 'status'),
    [
        ({'kinds': {}}, 404),
        ({'services': ()}, 503),
        ({'timeout-ms': 500}, 504),
    ],
)
def test_changed_configuration_does_not_reach_new_requests(changes, status):
    """Checks that the changes above take effect."""
    instance, _caller = run_change('once', changes)
    later = instance.send(f'/once/?ms={_TAKES_MS}')
    instance.run_for(2 * _TAKES_MS)
    assert later.head.split()[1] == str(status)
