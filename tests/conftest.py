"""Shared fixtures: clusters of processes."""

import pytest

from bench.cluster import Cluster, Shape


@pytest.fixture(scope='module')
def cluster(tmp_path_factory):
    """Run a small cluster for the tests of a module."""
    shape = Shape(entries=3, engines=4)
    with Cluster(shape, tmp_path_factory.mktemp('logs')) as running_cluster:
        yield running_cluster
