"""Tests of work replication between two instances on a faulty network."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.peer_message import PeerMessage, WorkChange
from crankchute.core.engine_work import Change, EngineWorkTracker
from crankchute.core.work_feed import WorkFeed, apply_batch

ENGINE = 'engine-1'
SENDER = 'sender'
#: Longer than the window for batches that arrive out of order.
PAUSE_MS = 100


def make_message(boot, **exchanged):
    fields = dict.fromkeys(PeerMessage.__slots__)
    fields.update(is_serving=True, instance=SENDER, boot=boot, **exchanged)
    return PeerMessage(**fields)


class FeedMachine(RuleBasedStateMachine):
    """A sender, a receiver, and messages that are lost or reordered."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.boot_count = 0
        self.work_count = 0
        self.receiver = WorkFeed()
        self.receiver_work_tracker = EngineWorkTracker(lambda: self.now_ms)
        self.in_flight = []
        self.restart()

    @rule()
    def restart(self):
        self.boot_count += 1
        self.sender = WorkFeed()
        self.sender_work_tracker = EngineWorkTracker(lambda: self.now_ms)
        self.outbox = []

    @rule()
    def send_work(self):
        self.work_count += 1
        work = make_work_item(
            f'work-{self.work_count}',
            ENGINE,
            until_ms=float('inf'),
        )
        self.sender_work_tracker.add(work)
        self.outbox.append(WorkChange(Change.SENT, work))

    @rule(change=st.sampled_from([Change.STARTED, Change.ENDED]))
    def change_work(self, change):
        works = self.sender_work_tracker.list_work_of(None)
        if not works:
            return
        news = WorkChange(change, works[0])
        self.sender_work_tracker.record(news)
        self.outbox.append(news)

    @rule()
    def flush(self):
        batch = self.sender.make_batch(
            self.outbox,
            lambda: self.sender_work_tracker.list_work_of(None),
        )
        self.outbox = []
        message = make_message(
            f'boot-{self.boot_count}',
            batch=batch,
            subscribes_to_work=False,
            needs_snapshot=False,
        )
        self.in_flight.append(copy.deepcopy(message))

    @rule()
    def add_subscription(self):
        request = make_message(
            'receiver',
            batch=None,
            subscribes_to_work=True,
            needs_snapshot=self.receiver.is_incomplete(self.now_ms),
        )
        self.sender.record_subscription(request, self.now_ms)

    @rule(index=st.integers(0, 3))
    def deliver(self, index):
        """Deliver the oldest message, or a later one out of order."""
        if not self.in_flight:
            return
        message = self.in_flight.pop(index % len(self.in_flight))
        # The messages of a process are lost when its connections close.
        if message.boot != f'boot-{self.boot_count}':
            return
        for batch in self.receiver.receive(message, self.now_ms):
            apply_batch(self.receiver_work_tracker, SENDER, batch)

    @rule()
    def lose(self):
        if self.in_flight:
            self.in_flight.pop()

    @rule()
    def lose_change(self):
        """Lose a message that carries a change."""
        self.send_work()
        self.flush()
        self.lose()

    @rule()
    def reorder(self):
        """Deliver the end of a work before its start."""
        self.send_work()
        self.flush()
        work = self.sender_work_tracker.list_work_of(None)[-1]
        ended = WorkChange(Change.ENDED, work)
        self.sender_work_tracker.record(ended)
        self.outbox.append(ended)
        self.flush()
        self.deliver(len(self.in_flight) - 1)
        self.deliver(len(self.in_flight) - 1)

    @rule()
    def exchange_reliably(self):
        """Exchange all messages without loss or reordering."""
        self.now_ms += PAUSE_MS
        self.add_subscription()
        self.flush()
        while self.in_flight:
            self.deliver(0)

    def teardown(self):
        """Check that both work_trackers agree after reliable exchanges."""
        for _ in range(3):
            self.exchange_reliably()
        assert not self.receiver.is_incomplete(self.now_ms)
        sent = {
            one.key: one.started
            for one in self.sender_work_tracker.list_work_of(None)
        }
        received = {
            one.key: one.started
            for one in self.receiver_work_tracker.list_work_of(SENDER)
        }
        assert received == sent


FeedMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
TestWorkFeed = FeedMachine.TestCase
