"""Tests of the feed of work between two instances, over a bad network."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from crankchute.core.engine_fakes import make_work
from crankchute.core.briefing import Briefing, WorkNews
from crankchute.core.engine_board import Change, EngineBoard
from crankchute.core.work_feed import WorkFeed, apply_batch

ENGINE = 'engine-1'
TELLER = 'teller'
#: A pause after which a missing batch is asked for, and then some.
LONG_MS = 100


def make_briefing(boot, **told):
    fields = dict.fromkeys(Briefing.__slots__)
    fields.update(is_serving=True, instance=TELLER, boot=boot, **told)
    return Briefing(**fields)


class FeedMachine(RuleBasedStateMachine):
    """A teller that works, a learner, and messages that go astray."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0
        self.boot = 0
        self.numbers = 0
        self.learner = WorkFeed()
        self.learned = EngineBoard(lambda: self.now_ms)
        self.on_the_way = []
        self.restart()

    @rule()
    def restart(self):
        self.boot += 1
        self.teller = WorkFeed()
        self.board = EngineBoard(lambda: self.now_ms)
        self.outbox = []

    @rule()
    def send_work(self):
        self.numbers += 1
        work = make_work(
            f'work-{self.numbers}',
            ENGINE,
            until_ms=float('inf'),
        )
        self.board.add(work)
        self.outbox.append(WorkNews(Change.SENT, work))

    @rule(change=st.sampled_from([Change.STARTED, Change.ENDED]))
    def change_work(self, change):
        works = self.board.works_of(None)
        if not works:
            return
        news = WorkNews(change, works[0])
        self.board.note(news)
        self.outbox.append(news)

    @rule()
    def flush(self):
        batch = self.teller.make_batch(
            self.outbox,
            lambda: self.board.works_of(None),
        )
        self.outbox = []
        briefing = make_briefing(
            f'boot-{self.boot}',
            batch=batch,
            wants_work=False,
            lacks_work=False,
        )
        self.on_the_way.append(copy.deepcopy(briefing))

    @rule()
    def ask(self):
        wish = make_briefing(
            'learner',
            batch=None,
            wants_work=True,
            lacks_work=self.learner.is_incomplete(self.now_ms),
        )
        self.teller.record_subscription(wish, self.now_ms)

    @rule(chosen=st.integers(0, 3))
    def deliver(self, chosen):
        """Deliver a message, the oldest or one that overtakes it."""
        if not self.on_the_way:
            return
        briefing = self.on_the_way.pop(chosen % len(self.on_the_way))
        # Connections end with their process, and their messages with them.
        if briefing.boot != f'boot-{self.boot}':
            return
        for batch in self.learner.receive(briefing, self.now_ms):
            apply_batch(self.learned, TELLER, batch)

    @rule()
    def lose(self):
        if self.on_the_way:
            self.on_the_way.pop()

    @rule()
    def miss(self):
        """Lose a message with news."""
        self.send_work()
        self.flush()
        self.lose()

    @rule()
    def overtake(self):
        """Let the end of a work overtake its beginning."""
        self.send_work()
        self.flush()
        work = self.board.works_of(None)[-1]
        ended = WorkNews(Change.ENDED, work)
        self.board.note(ended)
        self.outbox.append(ended)
        self.flush()
        self.deliver(len(self.on_the_way) - 1)
        self.deliver(len(self.on_the_way) - 1)

    @rule()
    def exchange(self):
        """Let the network be good for a while."""
        self.now_ms += LONG_MS
        self.ask()
        self.flush()
        while self.on_the_way:
            self.deliver(0)

    def teardown(self):
        """Both agree once the network was good for long enough."""
        for _ in range(3):
            self.exchange()
        assert not self.learner.is_incomplete(self.now_ms)
        own = {one.key: one.started for one in self.board.works_of(None)}
        told = {one.key: one.started for one in self.learned.works_of(TELLER)}
        assert told == own


FeedMachine.TestCase.settings = settings(
    max_examples=200,
    stateful_step_count=20,
    derandomize=True,
    deadline=None,
)
TestWorkFeed = FeedMachine.TestCase
