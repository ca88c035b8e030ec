"""Tests of relays to instances that lose their own paths."""

import pytest

from crankchute.core.forward_fakes import POOL
from crankchute.core.pool_paths_test import World
from crankchute.platform.lost_paths_test import (
    lose_all_paths,
    wait_until_lost,
)
from crankchute.platform.standin_paths import PathFault
from crankchute.platform.standin_world import ANSWERED, StandinWorld

_TICK_S = 0.001


def list_proxies(node):
    """Return the ids of the instances to which requests are relayed."""
    return node.desk.paths.describe_state()[POOL]['proxies']


def count_taken(world):
    """Return the relayed requests that each instance has got."""
    return [one.metrics.counts.get('relays_taken', 0) for one in world.nodes]


def test_requests_are_relayed_to_instance_without_paths():
    """Two of three instances have no paths, so the third one serves all."""
    world = StandinWorld()
    *lost, helper = world.nodes
    waiting = [
        finish
        for cut in lost
        for finish in lose_all_paths(world, cut, PathFault.RESET)
    ]
    for cut in lost:
        wait_until_lost(world, cut)
    # The first one may have been helped before the second one was lost.
    for finish in waiting:
        finish()
    proxies = [helper.identity.instance]
    world.loop.run_until(
        lambda: all(list_proxies(node) == proxies for node in lost), _TICK_S
    )
    earlier = count_taken(world)
    ended = world.send_load(world.nodes, 30, 1000)
    assert set(ended) <= ANSWERED
    taken = count_taken(world)
    assert taken[:2] == earlier[:2]
    assert taken[2] > earlier[2]


def test_proxy_is_used_after_it_announced_that_its_paths_are_lost():
    """Each request relayed to it would return after two more hops."""
    world = StandinWorld()
    node, proxy, _other = world.nodes
    name = proxy.identity.instance
    lose_all_paths(world, node, PathFault.RESET)
    wait_until_lost(world, node)
    world.loop.run_until(lambda: name in list_proxies(node), _TICK_S)
    lose_all_paths(world, proxy, PathFault.RESET)
    known = node.peers.sharing.instances
    world.loop.run_until(lambda: POOL in known.view(name).lost_pools, _TICK_S)
    assert name not in list_proxies(node)


@pytest.mark.parametrize(
    ('pools', 'is_dropped'),
    [((POOL,), True), (('other', POOL), True), (('other',), False)],
)
def test_announced_loss_of_one_pool_counts_for_another(pools, is_dropped):
    world = World()
    world.lose_all()
    world.suspect()
    proxy = world.choose()
    world.paths.drop_proxy(proxy, pools)
    assert (world.choose() is None) == is_dropped
