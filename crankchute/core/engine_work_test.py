"""Tests of the estimates of the work at engines."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.engine_work import EngineWorkTracker

ENGINE = 'engine-1'


def make_prefill(key, **changes):
    fields = {'prefill_ms': 100, 'until_ms': 10_000, **changes}
    return make_work_item(key, ENGINE, **fields)


class World:
    """An EngineWorkTracker with a manual clock."""

    def __init__(self):
        self.now_ms = 0
        self.work_tracker = EngineWorkTracker(lambda: self.now_ms)

    @property
    def state(self):
        return self.work_tracker.state(ENGINE)


def test_prefills_queue_up():
    world = World()
    world.work_tracker.add(make_prefill('a'))
    world.work_tracker.add(make_prefill('b', prefill_ms=50))
    assert world.state.wait_ms(0) == 150
    world.now_ms = 60
    assert world.state.wait_ms(60) == 90


@pytest.mark.parametrize(
    ('changes', 'share'),
    [
        # 100 ms of prefill and 300 ms of decoding, beside 600 ms of another.
        ({'account': 7}, 0.4),
        ({'account': 7, 'is_decoding': False}, 1 / 7),
        ({'account': 7, 'prefill_ms': 900}, 2 / 3),
    ],
)
def test_accounts_are_charged_for_prefill_and_decode(changes, share):
    """Accounts with long prompts or many short ones are charged alike."""
    costs_ms = {ENGINE: 300, 'engine-2': 500}
    world = World()
    work_tracker = EngineWorkTracker(lambda: world.now_ms, costs_ms.get)
    other = make_work_item('other', 'engine-2', prefill_ms=100, account=8)
    work_tracker.add(other)
    # A key that is known already is not charged again.
    for key in ('a', 'a', 'b'):
        work_changes = changes if key == 'a' else {}
        work_tracker.add(make_prefill(key, **work_changes))
    shares = {
        usage.account: usage.share
        for usage in work_tracker.account_shares.list_largest(9, 0)
    }
    assert shares == {7: pytest.approx(share), 8: pytest.approx(1 - share)}


def test_first_event_ends_the_prefill():
    world = World()
    world.work_tracker.add(make_prefill('a'))
    world.work_tracker.add(make_prefill('b', prefill_ms=50))
    world.now_ms = 20
    world.work_tracker.start(ENGINE, 'a')
    assert world.state.wait_ms(20) == 50


@pytest.mark.parametrize(
    ('prefill_ms', 'gap_ms', 'delayed'),
    [(100, 250, False), (300, 250, True), (300, 600, False)],
)
def test_decodes_delayed_by_a_prefill_are_counted_once(
    prefill_ms, gap_ms, delayed
):
    world = World()
    world.work_tracker.add(make_prefill('writer', gap_ms=gap_ms))
    world.work_tracker.start(ENGINE, 'writer')
    assert len(world.state.list_delayed_decodes(prefill_ms)) == int(delayed)
    reader = make_prefill('reader', prefill_ms=prefill_ms, is_decoding=False)
    world.work_tracker.add(reader)
    assert world.state.works['writer'].is_delayed == delayed
    # Work that is already late is not delayed again.
    assert len(world.state.list_delayed_decodes(1000)) == int(not delayed)


@pytest.mark.parametrize(
    ('first_event_at_ms', 'due_ms', 'started', 'is_delayed_prefill'),
    [
        (100, 300, False, True),
        (100, 400, False, False),
        # Already late, and already read.
        (350, 300, False, False),
        (100, 300, True, False),
    ],
)
def test_prefills_delayed_by_a_prioritized_one_are_listed(
    first_event_at_ms,
    due_ms,
    started,
    is_delayed_prefill,
):
    world = World()
    world.work_tracker.add(
        make_prefill('a', first_event_at_ms=first_event_at_ms, due_ms=due_ms)
    )
    if started:
        world.work_tracker.start(ENGINE, 'a')
    assert len(world.state.list_delayed_prefills(250)) == int(
        is_delayed_prefill
    )
    world.work_tracker.add(
        make_prefill('b', prefill_ms=250, is_prioritized=True)
    )
    postponed_ms = world.state.works['a'].first_event_at_ms - first_event_at_ms
    assert postponed_ms == 250 - 250 * started


def test_late_prefill_is_not_delayed_again():
    world = World()
    world.work_tracker.add(make_prefill('a', first_event_at_ms=100, due_ms=300))
    world.work_tracker.add(
        make_prefill('b', prefill_ms=250, is_prioritized=True)
    )
    assert not world.state.list_delayed_prefills(250)


def test_work_of_a_lost_instance_expires_at_its_deadline():
    world = World()
    world.work_tracker.add(make_prefill('a', until_ms=500))
    world.now_ms = 501
    world.work_tracker.add(make_prefill('b'))
    assert set(world.state.works) == {'b'}


@pytest.mark.parametrize(
    ('ratios', 'is_slow'),
    [
        ([1, 1.3, 0.8], False),
        ([5, 5, 5], True),
        ([5, 5, 5, 0.2, 0.2, 0.2, 0.2], False),
    ],
)
def test_slowness_follows_first_event_latency(ratios, is_slow):
    state = World().state
    for ratio in ratios:
        state.update_slowness(ratio, 0)
    found_slow = state.slowness(0) > 2
    assert found_slow == is_slow
    # The estimate decays, so that the engine is tried again.
    assert round(state.slowness(30_000)) == 1


@given(
    st.lists(
        st.tuples(
            st.sampled_from(['add', 'start', 'end']),
            st.integers(0, 5),
        ),
        max_size=40,
    )
)
def test_updates_in_any_order_keep_totals_consistent(steps):
    world = World()
    for step, number in steps:
        world.now_ms += 7
        key = f'work-{number}'
        if step == 'add':
            if key not in world.state.works:
                world.work_tracker.add(make_prefill(key))
        elif step == 'start':
            world.work_tracker.start(ENGINE, key)
        else:
            world.work_tracker.end(ENGINE, key)
    works = world.state.works.values()
    assert world.state.memory == sum(work.memory for work in works)
    assert world.state.decode_count == sum(work.is_decoding for work in works)
    assert world.state.wait_ms(world.now_ms) <= 100 * len(works) + 1
