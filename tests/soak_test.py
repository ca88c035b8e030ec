"""A short soak of real instances between simulated peers."""

import asyncio
import random
import signal
from types import SimpleNamespace

import pytest

from bench.soak.config import Config
from bench.soak.fleet import Fleet
from bench.soak.run import parse_options, run_seed
from bench.soak.verdict import Case, find_violations


@pytest.mark.parametrize('seed', [1])
def test_no_request_is_lost_or_refused_after_it_ran(seed, tmp_path):
    options = parse_options([f'--out={tmp_path}', '--seconds=20'])
    violations, outcomes = run_seed(seed, options)
    assert violations == []
    assert outcomes[200] > 0


def test_reload_signal_during_start_does_not_end_the_instance(tmp_path):
    options = parse_options(['--instances=1', '--servers=1'])
    with Fleet(tmp_path, options, random.Random(1)) as fleet:
        fleet.start(Config(random.Random(1)))
        instance = fleet.instances[0]
        exit_code = asyncio.run(send_early_reload(instance))
    assert exit_code is None


async def send_early_reload(instance):
    """Send SIGHUP when an instance listens but does not answer yet."""
    writer = None
    while writer is None:
        try:
            _reader, writer = await asyncio.open_connection(
                *instance.address('readiness')
            )
        except ConnectionError:
            await asyncio.sleep(0.01)
    writer.close()
    instance.send(signal.SIGHUP)
    while instance.is_running and not await instance.is_ready():
        await asyncio.sleep(0.1)
    return instance.popen.poll()


@pytest.mark.parametrize(
    ('run_after_s', 'event', 'event_after_s', 'is_violation'),
    [
        # The instance may send to the server for two seconds more.
        (1.9, None, 0, False),
        (2.1, None, 0, True),
        (9, None, 0, True),
        # The store, or the instance, is disturbed before one of both times.
        (9, 'forget', 0.02, True),
        (9, 'forget', 6.5, False),
        (9, 'restore', -1, False),
        (9, 'term', 6.5, False),
        (9, 'term', 5, True),
        (8.5, 'freeze', 5, False),
        (9, 'kill', 3, True),
    ],
)
def test_request_at_a_server_that_left_is_a_violation(
    run_after_s, event, event_after_s, is_violation
):
    attempt = SimpleNamespace(
        instance='i0',
        path='/again/',
        sent=1000 + run_after_s,
        ended=1001 + run_after_s,
        deadline_s=3,
        status=200,
        outcome='answered',
        faults=[],
        request_id='r1',
        reused=0,
    )
    disturbed = {
        'event': event,
        't': 1000 + event_after_s,
        'instance': 'i0',
        'seconds': 1,
    }
    case = Case(
        attempt,
        [{'event': 'run', 'server': 's1', 't': 1000 + run_after_s}],
        [{'event': 'begin', 't': 900}, disturbed],
        9,
        {'s1': 1000},
    )
    assert bool(find_violations([case])) == is_violation
