"""Tests of the forwarding configuration in force and its freshness."""

import pytest

from crankchute.core.forward_config import ForwardConfig, ForwardConfigHolder


def make_config(version):
    return ForwardConfig(version, [], [])


@pytest.mark.parametrize(
    ('offered', 'in_force'),
    [([1, 3, 2], 3), ([5, 5], 5), ([2, 9, 4, 10], 10)],
)
def test_versions_only_increase(offered, in_force):
    holder = ForwardConfigHolder()
    notified = []
    holder.subscribe(lambda config: notified.append(config.version))
    for version in offered:
        holder.offer(make_config(version), b'')
    assert holder.version == in_force
    assert notified == sorted(set(notified))


def test_proof_age_is_measured_from_the_request():
    holder = ForwardConfigHolder()
    assert holder.proof_age_ms(0) is None
    holder.offer(make_config(1), b'')
    holder.confirm(1, 100)
    assert holder.proof_age_ms(350) == 250
    holder.confirm(1, 50)
    assert holder.proof_age_ms(350) == 250


@pytest.mark.parametrize('version', [0, 1, 3])
def test_proof_of_another_version_is_ignored(version):
    holder = ForwardConfigHolder()
    holder.offer(make_config(2), b'')
    holder.confirm(version, 100)
    assert holder.proof_age_ms(100) is None
