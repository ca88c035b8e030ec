"""A short soak of real instances between simulated peers."""

import asyncio
import random
import signal

import pytest

from bench.soak.config import Config
from bench.soak.fleet import Fleet
from bench.soak.run import parse_options, run_seed


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
