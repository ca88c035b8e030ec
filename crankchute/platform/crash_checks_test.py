"""Tests that instances agree on which servers crashed."""

from functools import partial

import pytest

from crankchute.core.forward_fakes import POOL
from crankchute.core.forward_job import RetryMode
from crankchute.platform.lost_paths_test import lose_all_paths
from crankchute.platform.standin_engine import Behaviour
from crankchute.platform.standin_paths import PathFault
from crankchute.platform.standin_world import (
    SOUND,
    StandinWorld,
    ask_often,
    list_engine,
)
from crankchute.proto import peer_pb2

#: Instances have called each other by then.
_CONNECTED_MS = 1500
#: Longer than all questions about a server take.
_SETTLED_MS = 4000


def leave_unanswered(world, node):
    """Let each server work on a request that it does not answer."""
    ask_often(world, node)
    for engine in world.engines:
        engine.next_behaviours.append(Behaviour.SILENT)
    while any(one.next_behaviours for one in world.engines):
        world.submit(node, SOUND, repeat=RetryMode.ONCE, goal_ms=60_000)
        world.wait(20)


def drop_questions(world, node, count):
    """Leave the first questions of an instance to others unanswered.

    Args:
      world: The StandinWorld.
      node: The ForwardNode.
      count: How many of them; each goes to two instances.
    """
    client = node.peers.peer_client
    call = client.call
    dropped = []

    def drop(address, method, request, on_reply, *, timeout_ms):
        if method == 'Reach' and len(dropped) < count:
            dropped.append(address)
            world.loop.timers.after(0, partial(on_reply, None))
        else:
            call(address, method, request, on_reply, timeout_ms=timeout_ms)

    client.call = drop


def prove_reached(world, engines):
    """Let all instances open a connection to some servers."""
    replies = []
    servers = [list_engine(engine).identity for engine in engines]
    for node in world.nodes:
        request = peer_pb2.ReachRequest(servers=servers)
        node.peers.answer_reach(request, replies.append)
    world.loop.run_until(lambda: len(replies) == len(world.nodes))
    assert all(set(reply.reached) == set(servers) for reply in replies)


def test_crash_is_denied_by_instance_that_connected_before():
    world = StandinWorld(engines=4, is_plain=True)
    world.wait(_CONNECTED_MS)
    node = world.nodes[0]
    leave_unanswered(world, node)
    crashing = world.engines[:3]
    prove_reached(world, crashing)
    for engine in crashing:
        engine.crash()
    world.wait(_SETTLED_MS)
    assert [len(one.crashes) for one in world.nodes] == [3, 3, 3]


def test_lost_paths_are_crashes_because_nobody_can_connect():
    """Connections of the other instances get no answer."""
    world = StandinWorld(engines=4, is_plain=True)
    world.wait(_CONNECTED_MS)
    leave_unanswered(world, world.nodes[0])
    world.lose_paths(world.nodes[0], PathFault.RESET)
    for other in world.nodes[1:]:
        world.lose_paths(other, PathFault.HANG)
    world.wait(_SETTLED_MS)
    assert [len(one.crashes) for one in world.nodes] == [0, 0, 0]


@pytest.mark.parametrize('dropped', [2, 8, 10_000])
def test_lost_paths_are_crashes_because_no_instance_answers(dropped):
    """Those that are asked may be busy."""
    world = StandinWorld(engines=4, is_plain=True)
    world.wait(_CONNECTED_MS)
    node = world.nodes[0]
    leave_unanswered(world, node)
    drop_questions(world, node, dropped)
    world.lose_paths(node, PathFault.RESET)
    world.wait(_SETTLED_MS)
    assert [len(one.crashes) for one in world.nodes] == [0, 0, 0]


def test_lost_paths_are_crashes_because_no_instance_can_be_asked():
    """The others have announced that they lost their own paths."""
    world = StandinWorld(engines=4, is_plain=True)
    world.wait(_CONNECTED_MS)
    node, *others = world.nodes
    leave_unanswered(world, node)
    for other in others:
        lose_all_paths(world, other, PathFault.RESET)
    views = [
        node.peers.sharing.instances.view(one.identity.instance)
        for one in others
    ]
    world.loop.run_until(lambda: all(POOL in view.lost_pools for view in views))
    world.lose_paths(node, PathFault.RESET)
    world.wait(_SETTLED_MS)
    assert [len(one.crashes) for one in world.nodes] == [0, 0, 0]
