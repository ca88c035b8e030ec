"""A short soak of real instances between simulated peers."""

import pytest

from bench.soak.run import parse_options, run_seed


@pytest.mark.parametrize('seed', [1])
def test_no_request_is_lost_or_refused_after_it_ran(seed, tmp_path):
    options = parse_options([f'--out={tmp_path}', '--seconds=20'])
    violations, outcomes = run_seed(seed, options)
    assert violations == []
    assert outcomes[200] > 0
