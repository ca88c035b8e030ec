"""Tests of the placement of short and long prompts on engines."""

import pytest

from crankchute.core.account_shares import NO_ACCOUNT, hash_account
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.engine_chooser import EngineChooser
from crankchute.core.engine_work import Change
from crankchute.core.fakes import ManualTimers
from crankchute.core.forward_attempt import Attempt
from crankchute.core.forward_fakes import (
    ForwardHarness,
    make_backends,
    make_job,
    make_chooser_parts,
)
from crankchute.core.forward_job import PromptSize, RetryMode
from crankchute.core.outcomes import Refusal
from crankchute.core.reported_load import ReportedLoad
from crankchute.ports.forwarding import AnswerHead, StreamEvent

SHORT = PromptSize(5_000, 1_000)
LONG = PromptSize(100_000, 500)
HUGE = PromptSize(500_000, 500)


class World:
    """An EngineChooser with fake engines; keeps what it announces."""

    def __init__(self, engines=4):
        self.timers = ManualTimers()
        self.backends = make_backends(engines)
        self.announced = []
        parts = make_chooser_parts(
            self.timers,
            lambda: self.backends,
            lambda change, work: self.announced.append((change, work.engine)),
        )
        self.work_tracker = parts.work_tracker
        self.chooser = EngineChooser(parts)

    def place(self, size, goal_ms=300, gap_ms=250):
        job = make_job(size=size, goal_ms=goal_ms, gap_ms=gap_ms)
        placement = self.chooser.choose(job, set())
        self.chooser.record_sent(job, placement)
        return job, placement

    def add_decode(self, engine, gap_ms=250):
        work = make_work_item(f'writer-{engine}', engine, gap_ms=gap_ms)
        self.work_tracker.add(work)
        self.work_tracker.start(engine, work.key)


def engines_of(placement):
    helpers = [helper.backend.identity for helper in placement.helpers]
    return {placement.backend.identity, *helpers}


def test_short_prompts_go_to_engines_without_prefills():
    world = World()
    chosen = [world.place(SHORT)[1].backend.identity for _ in range(2)]
    # The first half of the engines is reserved for long prompts.
    assert set(chosen) == {'server-02', 'server-03'}


@pytest.mark.parametrize('size', [SHORT, LONG])
@pytest.mark.parametrize(
    ('account', 'expected'), [('acc', hash_account('acc')), (None, NO_ACCOUNT)]
)
def test_work_is_charged_to_the_account(size, account, expected):
    """Each part of a split prefill uses engine time."""
    world = World()
    job = make_job(size=size, account=account)
    placement = world.chooser.choose(job, set())
    world.chooser.record_sent(job, placement)
    assert {work.account for work in placement.key.works} == {expected}
    listed = world.work_tracker.account_shares.list_largest(1, 0)
    names = [] if account is None else [account]
    assert [usage.name for usage in listed] == names


def test_long_prompt_avoids_decoding_engines():
    world = World()
    for engine in ('server-00', 'server-01', 'server-02'):
        world.add_decode(engine)
    _job, placement = world.place(LONG, goal_ms=2500)
    assert engines_of(placement) == {'server-03'}


def test_split_prefill_avoids_engines_with_waiting_prefills():
    """The parts of a split prefill run before waiting prefills."""
    world = World(engines=4)
    for engine in ('server-00', 'server-01'):
        waiting = make_work_item(
            f'waiting-{engine}',
            engine,
            weight=20,
            due_ms=400,
            first_event_at_ms=300,
        )
        world.work_tracker.add(waiting)
    _job, placement = world.place(LONG, goal_ms=700)
    assert engines_of(placement) == {'server-02', 'server-03'}


def test_long_prompt_is_split_if_one_engine_would_be_late():
    world = World()
    _job, placement = world.place(LONG, goal_ms=700)
    assert len(placement.helpers) >= 1
    assert not placement.tickets


@pytest.mark.parametrize(
    ('size', 'has_tickets'),
    [(SHORT, False), (LONG, False), (HUGE, True)],
)
def test_memory_is_reserved_only_for_the_longest_prompts(size, has_tickets):
    world = World(engines=8)
    _job, placement = world.place(size, goal_ms=2500)
    assert bool(placement.tickets) == has_tickets
    reserved = sum(helper.tokens for helper in placement.helpers)
    if has_tickets:
        largest = max(helper.tokens for helper in placement.helpers)
        assert size.kv_tokens - reserved <= largest
        assert largest < 232_000 / 2 * 1.1


def test_tickets_are_unique():
    world = World(engines=8)
    tickets = []
    for _ in range(3):
        job, placement = world.place(HUGE, goal_ms=2500)
        tickets.extend(helper.ticket for helper in placement.helpers)
        world.chooser.record_end(job, placement)
    assert len(tickets) == len(set(tickets))


def test_changes_update_the_board_and_are_announced():
    world = World()
    job, placement = world.place(SHORT)
    engine = placement.backend.identity
    world.chooser.record_first_event(job, placement)
    world.chooser.record_end(job, placement)
    changes = [change for change, server in world.announced if server == engine]
    assert changes == [Change.SENT, Change.STARTED, Change.ENDED]
    assert not world.work_tracker.state(engine).works
    assert world.work_tracker.state(engine).memory == 0


def test_avoided_servers_are_never_chosen():
    world = World(engines=2)
    avoided = {'server-00', 'server-01'}
    refusal = world.chooser.choose(make_job(), avoided)
    assert isinstance(refusal, Refusal)
    assert refusal.code == 'no_backend'


def test_engine_without_a_free_slot_is_not_chosen():
    world = World(engines=2)
    state = world.work_tracker.state('server-01')
    state.decode_count = 8
    _job, placement = world.place(SHORT)
    assert placement.backend.identity == 'server-00'


def test_failed_server_is_chosen_only_as_a_last_resort():
    world = World(engines=2)
    for _ in range(3):
        world.backends[1].breaker.record_failure(0)
    chosen = [world.place(SHORT)[1].backend.identity]
    for _ in range(3):
        world.backends[0].breaker.record_failure(0)
    chosen.append(world.place(SHORT)[1].backend.identity)
    assert chosen[0] == 'server-00'
    assert chosen[1] in {'server-00', 'server-01'}


class FakeAttempt:
    """The attributes of an attempt that timeouts depend on."""

    def __init__(self, placement, last_event_ms):
        self.placement = placement
        self.backend = placement.backend
        self.last_event_ms = last_event_ms
        self.started = True


def test_prefill_extends_the_response_timeout():
    world = World(engines=1)
    job, placement = world.place(SHORT)
    attempt = FakeAttempt(placement, 0)
    world.chooser.record_first_event(job, placement)
    before_ms = world.chooser.stalled_at_ms(job, attempt)
    world.place(PromptSize(200_000, 100), goal_ms=2500)
    prefill_end_ms = world.work_tracker.state(
        placement.backend.identity
    ).prefill_until_ms
    assert prefill_end_ms > 3000
    assert (
        world.chooser.stalled_at_ms(job, attempt) == before_ms + prefill_end_ms
    )


def test_hanging_engine_is_suspected_before_callers_cancel():
    """The suspicion arises during the wait and outlasts the request."""
    harness = ForwardHarness()
    harness.chooser.overdue_at_ms = lambda _job, attempt: (
        attempt.last_event_ms + 450
    )
    flow, _sink = harness.submit(is_stream=True, repeat=RetryMode.RESUME)
    backend = harness.port.calls[0].placement.backend
    harness.timers.advance(440)
    assert not backend.failure_estimator.local_counts(440).failures
    harness.timers.advance(20)
    assert round(backend.failure_estimator.local_counts(460).failures) == 1
    flow.cancel()
    assert round(backend.failure_estimator.local_counts(460).failures) == 1


def test_late_response_clears_the_suspicion():
    harness = ForwardHarness()
    harness.chooser.overdue_at_ms = lambda _job, attempt: (
        attempt.last_event_ms + 450
    )
    harness.submit(is_stream=True, repeat=RetryMode.RESUME)
    call = harness.port.calls[0]
    harness.timers.advance(460)
    call.listener.on_head(AnswerHead(200))
    call.listener.on_event(StreamEvent(0, b''))
    backend = call.placement.backend
    assert not round(backend.failure_estimator.local_counts(460).failures, 3)


def test_queued_prefills_postpone_the_overdue_time():
    world = World()
    world.place(LONG, goal_ms=60_000)
    job, placement = world.place(SHORT)
    attempt = Attempt(None, None, placement)
    attempt.last_event_ms = 0
    state = world.work_tracker.state(placement.backend.identity)
    due_ms = world.chooser.overdue_at_ms(job, attempt)
    assert due_ms > state.prefill_until_ms + placement.first_ms


@pytest.mark.parametrize(
    ('requests', 'chosen'),
    [
        # A slot frees up in time for a usual short prompt.
        (8, {'server-02', 'server-03'}),
        (12, {'server-00', 'server-01'}),
    ],
)
def test_unknown_requests_count_as_the_wait_for_a_slot(requests, chosen):
    world = World(engines=4)
    for backend in world.backends[2:]:
        world.chooser.record_load(backend, ReportedLoad(requests))
    assert engines_of(world.place(SHORT)[1]) <= chosen
    # Unknown requests are assumed to end as well.
    world.timers.advance(2500)
    assert engines_of(world.place(SHORT)[1]) <= {'server-02', 'server-03'}


@pytest.mark.parametrize(
    ('repeat', 'is_limited'),
    [
        (RetryMode.ONCE, False),
        (RetryMode.AGAIN, True),
        (RetryMode.RESUME, True),
    ],
)
@pytest.mark.parametrize('started', [False, True])
def test_silence_ends_a_request_that_must_not_be_repeated(
    repeat, is_limited, started
):
    """The engine may be silent for a while, and go on."""
    world = World(engines=1)
    job, placement = world.place(SHORT)
    job.repeat = repeat
    attempt = FakeAttempt(placement, 0)
    attempt.started = started
    limit_ms = world.chooser.stalled_at_ms(job, attempt)
    assert (limit_ms is not None) == is_limited


def make_world_with_data_centres(connected=(), local=()):
    """Return a World of idle engines, some connected or local."""
    world = World(engines=8)
    for backend in world.backends:
        data_centre = 'here' if backend.identity in local else 'there'
        backend.listed.data_centre = data_centre
    parts = make_chooser_parts(world.timers, lambda: world.backends)
    parts.data_centre = 'here'
    parts.is_connected = lambda server: server.identity in connected
    world.work_tracker = parts.work_tracker
    world.chooser = EngineChooser(parts)
    return world


@pytest.mark.parametrize(
    ('connected', 'local', 'chosen'),
    [
        ({'server-06'}, set(), 'server-06'),
        (set(), {'server-06'}, 'server-06'),
        ({'server-05'}, {'server-06'}, 'server-05'),
        ({'server-05', 'server-06'}, {'server-06'}, 'server-06'),
    ],
)
def test_nearest_of_equivalent_engines_is_chosen(connected, local, chosen):
    world = make_world_with_data_centres(connected, local)
    _job, placement = world.place(SHORT)
    assert placement.backend.identity == chosen


def test_prefill_outweighs_an_open_connection():
    world = make_world_with_data_centres({'server-06'}, {'server-06'})
    work = make_work_item('reads', 'server-06', prefill_ms=200)
    world.work_tracker.add(work)
    _job, placement = world.place(SHORT)
    assert placement.backend.identity != 'server-06'


@pytest.mark.parametrize(('writers', 'lacking'), [(0, 0), (7, 0), (8, 1)])
def test_placement_states_how_many_requests_must_end_first(writers, lacking):
    """The log of a wait for a slot depends on it."""
    world = World(engines=1)
    for number in range(writers):
        # The long gap keeps admission control from refusing the prompt.
        work = make_work_item(f'writer-{number}', 'server-00', gap_ms=60_000)
        world.work_tracker.add(work)
        world.work_tracker.start('server-00', work.key)
    _job, placement = world.place(SHORT)
    assert placement.estimate.describe()['lacking'] == lacking


def test_lack_of_memory_at_the_reserved_engines_is_named():
    """Such prompts were refused as if no server took requests at all."""
    world = World(engines=8)
    for number in range(40):
        work = make_work_item(f's{number}', 'server-07', priority=0)
        world.work_tracker.add(work)
        world.work_tracker.end('server-07', work.key)
    work = make_work_item(
        'long', 'server-00', prefill_ms=9000, weight=20, priority=2
    )
    work.memory = 230_000
    world.work_tracker.add(work)
    job = make_job(
        size=HUGE, goal_ms=6000, gap_ms=1000, is_stream=True, priority=2
    )
    refusal = world.chooser.choose(job, set())
    assert refusal.code == 'no_memory'
    assert refusal.retry_after_ms > 0
