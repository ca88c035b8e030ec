"""Tests of calls between instances, over loopback."""

import pytest

from crankchute.adapters.loop import Loop
from crankchute.adapters.peers_grpc import PeerClient, PeerServer
from crankchute.proto import peer_pb2
from crankchute.standins.ports import LOOPBACK

_TICK_S = 0.001
_LATE_MS = 60


class World:
    """A peer that answers when a test lets it, and a client."""

    def __init__(self):
        self.loop = Loop()
        self.answers = True
        self.server = PeerServer(self.loop, (LOOPBACK, 0), self)
        self.client = PeerClient(self.loop)
        self.address = f'{LOOPBACK}:{self.server.port}'

    def on_share(self, _request, on_reply):
        if self.answers:
            on_reply(peer_pb2.Briefing(instance='peer'))

    def on_pull(self, _request, on_reply):
        entry = peer_pb2.PublishedEntry(key='config', payload=b'route' * 9000)
        on_reply(peer_pb2.ChangeReply(revision=1, entries=[entry]))

    def call(self, method, request):
        replies = []
        self.client.call(
            self.address,
            method,
            request,
            replies.append,
            timeout_ms=5000 if self.answers else _LATE_MS,
        )
        self.loop.run_until(lambda: replies, _TICK_S)
        return replies[0]

    def stop(self):
        self.client.close()
        self.server.stop()


@pytest.fixture
def world():
    made = World()
    yield made
    made.stop()


def test_peer_answers(world):
    reply = world.call('Share', peer_pb2.Briefing())
    assert reply.instance == 'peer'


def test_large_answer_comes_whole(world):
    reply = world.call('Pull', peer_pb2.PullRequest())
    assert len(reply.entries[0].payload) == 45_000


@pytest.mark.parametrize(
    ('calls', 'is_replaced'),
    [
        ((False,), False),
        ((False, True, False), False),
        ((False, False), True),
    ],
)
def test_connection_that_is_late_again_and_again_is_replaced(
    world, calls, is_replaced
):
    assert world.call('Share', peer_pb2.Briefing()) is not None
    before = world.client.channel_of(world.address)
    for answers in calls:
        world.answers = answers
        reply = world.call('Share', peer_pb2.Briefing())
        assert (reply is not None) == answers
    is_same = world.client.channel_of(world.address) is before
    assert is_same != is_replaced
    world.answers = True
    assert world.call('Share', peer_pb2.Briefing()) is not None
