"""Tests of the versions in force and of the age of their proof."""

import pytest

from crankchute.core.forward_config import ForwardConfig, ForwardConfigHolder


def make_config(version):
    return ForwardConfig(version, [], [])


@pytest.mark.parametrize(
    ('offered', 'in_force'),
    [([1, 3, 2], 3), ([5, 5], 5), ([2, 9, 4, 10], 10)],
)
def test_versions_only_rise(offered, in_force):
    holder = ForwardConfigHolder()
    told = []
    holder.subscribe(lambda config: told.append(config.version))
    for version in offered:
        holder.offer(make_config(version), b'')
    assert holder.version == in_force
    assert told == sorted(set(told))


def test_proof_ages_from_the_moment_of_asking():
    holder = ForwardConfigHolder()
    assert holder.proof_age_ms(0) is None
    holder.offer(make_config(1), b'')
    holder.prove(1, 100)
    assert holder.proof_age_ms(350) == 250
    holder.prove(1, 50)
    assert holder.proof_age_ms(350) == 250


@pytest.mark.parametrize('version', [0, 1, 3])
def test_proof_of_another_version_proves_nothing(version):
    holder = ForwardConfigHolder()
    holder.offer(make_config(2), b'')
    holder.prove(version, 100)
    assert holder.proof_age_ms(100) is None
