"""Tests of calls between instances, over loopback."""

import pytest

from crankchute.adapters.loop import Loop
from crankchute.adapters.peers_grpc import PeerClient, PeerServer
from crankchute.proto import peer_pb2
from crankchute.standins.ports import LOOPBACK

_TICK_S = 0.001
_TIMEOUT_MS = 60


class PeerHarness:
    """A client, and a peer that can be told not to reply."""

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
            timeout_ms=5000 if self.answers else _TIMEOUT_MS,
        )
        self.loop.run_until(lambda: replies, _TICK_S)
        return replies[0]

    def stop(self):
        self.client.close()
        self.server.stop()


@pytest.fixture
def harness():
    created = PeerHarness()
    yield created
    created.stop()


def test_peer_replies(harness):
    reply = harness.call('Share', peer_pb2.Briefing())
    assert reply.instance == 'peer'


def test_large_reply_is_complete(harness):
    reply = harness.call('Pull', peer_pb2.PullRequest())
    assert len(reply.entries[0].payload) == 45_000


@pytest.mark.parametrize(
    ('calls', 'is_replaced'),
    [
        ((False,), False),
        ((False, True, False), False),
        ((False, False), True),
    ],
)
def test_connection_is_replaced_after_consecutive_timeouts(
    harness, calls, is_replaced
):
    assert harness.call('Share', peer_pb2.Briefing()) is not None
    before = harness.client.get_channel(harness.address)
    for answers in calls:
        harness.answers = answers
        reply = harness.call('Share', peer_pb2.Briefing())
        assert (reply is not None) == answers
    is_same = harness.client.get_channel(harness.address) is before
    assert is_same != is_replaced
    harness.answers = True
    assert harness.call('Share', peer_pb2.Briefing()) is not None
