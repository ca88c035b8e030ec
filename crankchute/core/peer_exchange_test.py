"""Tests of the choice of active instances and of their exchange."""

import copy
import random
from collections import Counter

import pytest

from crankchute.core.engine_fakes import make_work_item
from crankchute.core.active_choice import Ranking, count_active
from crankchute.core.peer_message import PeerMessage
from crankchute.core.crash_history import CrashHistory
from crankchute.core.engine_work import Change, EngineWorkTracker
from crankchute.core.fakes import ManualTimers
from crankchute.core.membership import Member
from crankchute.core.peer_exchange import PeerExchange, PeerExchangeParts


def make_members(names):
    return [
        Member(name, 'boot', 1, data_centre=name[0], http_address=name)
        for name in names
    ]


class SimulatedFleet:
    """Instances that reach each other unless they are isolated."""

    def __init__(self, names):
        self.timers = ManualTimers()
        self.members = make_members(names)
        self.by_name = {one.identity: one for one in self.members}
        self.isolated = set()
        self.known_names = {}
        self.stopping = set()
        self.proof_ages = {}
        self.lost_pools = {}
        self.received = []
        self.boot_ids = {}
        self.work_trackers = {}
        self.histories = {}
        self.instances = {name: self._make(name) for name in names}

    def list_known(self, name):
        """Return the names of the instances that an instance knows."""
        return self.known_names.get(name, self.by_name)

    def list_active_at(self, name):
        chosen = self.instances[name].choose_instances('a')
        return [member.identity for member in chosen]

    def restart(self, name):
        """Restart an instance without its state."""
        self.boot_ids[name] = f'boot-{self.timers.clock.now_ms()}'
        self.instances[name] = self._make(name)

    def send_work(self, name, key, engine='engine-1'):
        """Let an instance send work to an engine and report it."""
        work = make_work_item(key, engine)
        self.work_trackers[name].add(work)
        self.instances[name].report_work(Change.SENT, work)

    def end_work(self, name, key, engine='engine-1'):
        work = self.work_trackers[name].state(engine).works[key]
        self.work_trackers[name].end(engine, key)
        self.instances[name].report_work(Change.ENDED, work)

    def list_work_at(self, name, engine='engine-1'):
        return set(self.work_trackers[name].state(engine).works)

    def _make(self, name):
        self.work_trackers[name] = EngineWorkTracker(self.timers.clock.now_ms)
        self.histories[name] = CrashHistory(self.timers.clock.now_ms)
        parts = PeerExchangeParts(
            timers=self.timers,
            random=random.Random(1),
            members=lambda: [
                self.by_name[one] for one in self.list_known(name)
            ],
            get=lambda identity: self.by_name.get(identity),
            version=lambda: len(self.list_known(name)),
            is_serving=lambda: name not in self.stopping,
            proof_age_ms=lambda: self.proof_ages.get(name, 10),
            lost_pools=lambda: self.lost_pools.get(name, ()),
            work_tracker=self.work_trackers[name],
            crashes=self.histories[name],
            make_message=lambda **exchanged: self._make_message(
                name, **exchanged
            ),
            on_message=lambda message, asked_ms: self.received.append(
                (name, message, asked_ms),
            ),
            send=lambda *args: self._send(name, *args),
        )
        sharing = PeerExchange(parts, name)
        sharing.start()
        return sharing

    def _make_message(self, name, **exchanged):
        return PeerMessage(
            instance=name,
            boot=self.boot_ids.get(name, 'boot'),
            is_serving=name not in self.stopping,
            version=1,
            proof_age_ms=self.proof_ages.get(name, 10),
            servers_revision=1,
            servers_age_ms=10,
            draining_servers=[],
            removed_servers=[],
            server_health=[],
            limits=[],
            evacuations=(),
            knows_evacuations=False,
            lost_pools=self.lost_pools.get(name, ()),
            **exchanged,
        )

    def _send(self, sender, member, message, on_reply, timeout_ms):
        if {sender, member.identity} & self.isolated:
            self.timers.after(timeout_ms, lambda: on_reply(None))
            return
        copied = copy.deepcopy(message)
        reply = self.instances[member.identity].handle_request(copied)
        on_reply(copy.deepcopy(reply))


NAMES = ('a1', 'a2', 'b1', 'b2', 'c1')


def test_all_instances_choose_the_same_active_ones():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    answers = {tuple(fleet.list_active_at(name)) for name in NAMES}
    assert len(answers) == 1
    active = answers.pop()
    assert len(active) == 3
    assert len({name[0] for name in active}) == 3


@pytest.mark.parametrize('fault', ['isolated', 'stopping', 'stale'])
def test_faulty_instance_is_replaced(fault):
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    faulty = fleet.list_active_at('a1')[0]
    if fault == 'isolated':
        fleet.isolated.add(faulty)
    elif fault == 'stopping':
        fleet.stopping.add(faulty)
    else:
        fleet.proof_ages[faulty] = 4000
    fleet.timers.advance(1200)
    for name in NAMES:
        if name != faulty:
            assert faulty not in fleet.list_active_at(name)


def test_healthy_instances_are_active_during_a_store_outage():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    first, second, _third = fleet.list_active_at('a1')
    fleet.proof_ages.update(dict.fromkeys(NAMES, 4000))
    fleet.stopping.add(first)
    fleet.isolated.add(second)
    fleet.timers.advance(2000)
    for name in set(NAMES) - {first, second}:
        active = fleet.list_active_at(name)
        assert len(active) == 3
        assert not {first, second} & set(active)


def test_recovered_instance_is_active_again():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    before = fleet.list_active_at('a1')
    fleet.isolated.add(before[0])
    fleet.timers.advance(2000)
    fleet.isolated.clear()
    fleet.timers.advance(2500)
    assert {tuple(fleet.list_active_at(name)) for name in NAMES} == {
        tuple(before)
    }


def test_some_instance_is_active_even_if_all_seem_faulty():
    fleet = SimulatedFleet(NAMES)
    fleet.isolated.update(NAMES)
    fleet.stopping.update(NAMES)
    fleet.timers.advance(3000)
    assert fleet.list_active_at('a1')


def test_changes_are_sent_in_one_batch():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    first, second, _third = fleet.list_active_at('a1')
    fleet.received.clear()
    work = make_work_item('work-1', 'engine-1')
    fleet.instances[first].report_work(Change.SENT, work)
    fleet.instances[first].report_work(Change.STARTED, work)
    fleet.timers.advance(10)
    batches = [
        [one.change for one in message.batch.changes]
        for name, message, _asked_ms in fleet.received
        if name == second and message.batch.changes
    ]
    assert batches == [[Change.SENT, Change.STARTED]]


def make_fleet_with_work():
    """Return a fleet, its active instances with work, and the others."""
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    active = fleet.list_active_at('a1')
    for number, name in enumerate(active):
        fleet.send_work(name, f'old-{number}')
    fleet.timers.advance(20)
    return fleet, active, [one for one in NAMES if one not in active]


OLD_WORK = frozenset(('old-0', 'old-1', 'old-2'))


def test_restarted_instance_gets_a_work_snapshot():
    fleet, active, _others = make_fleet_with_work()
    fleet.restart(active[0])
    fleet.timers.advance(300)
    # Its own earlier work ended with its process.
    assert fleet.list_work_at(active[0]) == {'old-1', 'old-2'}
    assert fleet.list_work_at(active[1]) == {'old-1', 'old-2'}


def test_promoted_instance_gets_a_work_snapshot():
    fleet, active, others = make_fleet_with_work()
    fleet.stopping.add(active[0])
    fleet.timers.advance(600)
    promoted = set(fleet.list_active_at(active[1])) - set(active)
    assert promoted <= set(others)
    assert fleet.list_work_at(promoted.pop()) == OLD_WORK


def test_inactive_instance_that_chooses_engines_gets_work():
    fleet, active, others = make_fleet_with_work()
    busy = others[0]
    assert not fleet.list_work_at(busy)
    fleet.send_work(busy, 'own')
    fleet.timers.advance(20)
    assert fleet.list_work_at(busy) == OLD_WORK | {'own'}
    # It gets later changes, and its own work is sent to the others.
    fleet.send_work(active[1], 'new')
    fleet.end_work(active[0], 'old-0')
    fleet.timers.advance(20)
    assert fleet.list_work_at(busy) == {'old-1', 'old-2', 'own', 'new'}
    assert 'own' in fleet.list_work_at(active[2])


def test_subscription_ends_when_no_engine_is_chosen():
    fleet, active, others = make_fleet_with_work()
    fleet.send_work(others[0], 'own')
    fleet.timers.advance(5000)
    fleet.send_work(active[1], 'new')
    fleet.timers.advance(20)
    assert 'new' not in fleet.list_work_at(others[0])


def test_lost_message_leaves_no_stale_work():
    fleet, active, _others = make_fleet_with_work()
    first, second, _third = active
    fleet.isolated.add(second)
    fleet.end_work(first, 'old-0')
    fleet.send_work(first, 'new')
    fleet.timers.advance(20)
    fleet.isolated.clear()
    assert fleet.list_work_at(second) == OLD_WORK
    fleet.timers.advance(600)
    assert fleet.list_work_at(second) == {'old-1', 'old-2', 'new'}


def test_number_of_followers_is_bounded():
    names = [f'{"abc"[one % 3]}{one}' for one in range(60)]
    fleet = SimulatedFleet(names)
    fleet.timers.advance(3000)
    active = fleet.list_active_at(names[0])
    for name in names:
        fleet.send_work(name, f'work-{name}')
    fleet.timers.advance(50)
    fleet.received.clear()
    fleet.send_work(active[0], 'new')
    fleet.timers.advance(20)
    informed = [one for one in names if 'new' in fleet.list_work_at(one)]
    assert len(informed) <= 1 + 2 + 9


def test_only_answers_have_a_request_time():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(1000)
    active = fleet.list_active_at('a1')[0]
    messages = [one for one in fleet.received if one[0] == active]
    unsolicited = [one for one in messages if one[2] is None]
    assert unsolicited
    assert len(unsolicited) < len(messages)


@pytest.mark.parametrize(
    ('known', 'active'),
    [(1, 1), (2, 2), (6, 3), (72, 3), (73, 4), (300, 13), (780, 33)],
)
def test_number_of_active_instances(known, active):
    assert count_active(known) == active


def test_choice_covers_every_data_centre_before_repeating_one():
    chosen = Ranking(make_members(NAMES)).choose(4, lambda _one: True)
    centres = [one.data_centre for one in chosen]
    assert sorted(centres[:3]) == ['a', 'b', 'c']
    assert len(centres) == 4


@pytest.mark.parametrize('count', [6, 30, 100, 300])
def test_message_rate_per_instance_is_bounded(count):
    """The rate must not depend on the size of the fleet."""
    fleet = SimulatedFleet([f'{"abc"[one % 3]}{one}' for one in range(count)])
    fleet.timers.advance(2000)
    fleet.received.clear()
    # Long enough to average over many exchange intervals.
    fleet.timers.advance(6000)
    incoming = Counter(one[0] for one in fleet.received if one[2] is None)
    outgoing = Counter(one[0] for one in fleet.received if one[2] is not None)
    # Messages per second that one instance receives, and that it sends.
    assert max(incoming.values()) / 6 <= 110
    assert max(outgoing.values()) / 6 <= 4 * count_active(count)


@pytest.mark.parametrize('count', [6, 30, 76, 300])
def test_active_instances_are_stable_without_faults(count):
    """The silence timeout must exceed the exchange interval at any size."""
    names = [f'{"abc"[one % 3]}{one}' for one in range(count)]
    fleet = SimulatedFleet(names)
    fleet.timers.advance(2000)
    observed = set()
    for _ in range(30):
        fleet.timers.advance(200)
        observed.update(tuple(fleet.list_active_at(name)) for name in names[:5])
    assert len(observed) == 1


LARGE_FLEET_NAMES = tuple(f'{"abcde"[one % 5]}{one}' for one in range(100))


def count_polls(fleet, names, seconds):
    """Return how many polls by each instance were answered, a list."""
    fleet.received.clear()
    fleet.timers.advance(seconds * 1000)
    polls = Counter(name for name, _one, asked_ms in fleet.received if asked_ms)
    return [polls[name] for name in names]


def test_inactive_instance_polls_only_its_home():
    fleet = SimulatedFleet(LARGE_FLEET_NAMES)
    fleet.timers.advance(3000)
    active = fleet.list_active_at(LARGE_FLEET_NAMES[0])
    others = [one for one in LARGE_FLEET_NAMES if one not in active]
    assert set(count_polls(fleet, others, 10)) <= {20, 21}


def test_only_inactive_instances_have_a_home():
    fleet = SimulatedFleet(LARGE_FLEET_NAMES)
    fleet.timers.advance(3000)
    active = fleet.list_active_at(LARGE_FLEET_NAMES[0])
    homes = {name: fleet.instances[name].home for name in LARGE_FLEET_NAMES}
    assert {homes[name] for name in active} == {None}
    assert set(homes.values()) - {None} <= set(active)
    assert all(homes[name] for name in LARGE_FLEET_NAMES if name not in active)


def test_homes_are_local_and_balanced():
    fleet = SimulatedFleet(LARGE_FLEET_NAMES)
    fleet.timers.advance(3000)
    active = fleet.list_active_at(LARGE_FLEET_NAMES[0])
    fleet.received.clear()
    fleet.timers.advance(1000)
    pairs = {
        (name, message.instance)
        for name, message, asked_ms in fleet.received
        if asked_ms and name not in active
    }
    local = {one for one in pairs if one[0][0] == one[1][0]}
    centres = {name[0] for name in active}
    assert all(one in local for one in pairs if one[0][0] in centres)
    followers = Counter(home for _name, home in pairs)
    assert max(followers.values()) <= 50


@pytest.mark.parametrize('count', [30, 195, 332])
def test_failed_instance_leaves_every_answer_in_time(count):
    """The limit of 1.4 s holds for any size of the fleet."""
    names = [f'{"abcde"[one % 5]}{one}' for one in range(count)]
    fleet = SimulatedFleet(names)
    fleet.timers.advance(3000)
    faulty = fleet.list_active_at(names[0])[0]
    fleet.isolated.add(faulty)
    fleet.timers.advance(1400)
    listing = [one for one in names if faulty in fleet.list_active_at(one)]
    assert listing in ([], [faulty])


def test_unresponsive_home_is_replaced_at_once():
    fleet = SimulatedFleet(LARGE_FLEET_NAMES)
    fleet.timers.advance(3000)
    active = fleet.list_active_at(LARGE_FLEET_NAMES[0])
    fleet.isolated.update(active[1:])
    fleet.timers.advance(1500)
    fleet.received.clear()
    fleet.timers.advance(600)
    answered = {
        name for name, _briefing, asked_ms in fleet.received if asked_ms
    }
    assert answered >= set(LARGE_FLEET_NAMES) - set(active)


def make_members_with_strength(names, strong):
    members = make_members(names)
    for member in members:
        member.strength = 2150 if member.identity in strong else 516
    return members


@pytest.mark.parametrize(
    ('strong', 'chosen'),
    [
        (('a3', 'b3', 'c3'), {'a3', 'b3', 'c3'}),
        # If too few are strong, weaker ones fill the list.
        (('a3',), None),
        ((), None),
    ],
)
def test_strong_instances_are_active(strong, chosen):
    names = [f'{centre}{one}' for centre in 'abc' for one in range(6)]
    ranking = Ranking(make_members_with_strength(names, strong))
    found = {one.identity for one in ranking.choose(3, lambda _one: True)}
    assert found >= set(strong)
    assert len(found) == 3
    if chosen is not None:
        assert found == chosen


def test_rejected_strong_instance_is_replaced_by_the_next_one():
    names = [f'{centre}{one}' for centre in 'ab' for one in range(4)]
    ranking = Ranking(
        make_members_with_strength(names, ('a1', 'a2', 'b1', 'b2'))
    )
    found = ranking.choose(3, lambda one: one.identity != 'a1')
    assert {one.identity for one in found} == {'a2', 'b1', 'b2'}


@pytest.mark.parametrize('count', [5, 30, 100])
def test_instance_is_active_again_after_its_proof_was_stale(count):
    """An old proof age must not exclude an instance permanently."""
    names = [f'{"abcde"[one % 5]}{one}' for one in range(count)]
    fleet = SimulatedFleet(names)
    fleet.timers.advance(3000)
    before = fleet.list_active_at(names[0])
    stale = before[:2]
    fleet.proof_ages.update(dict.fromkeys(stale, 4000))
    fleet.timers.advance(2000)
    for name in names:
        assert not set(stale) & set(fleet.list_active_at(name))
    fleet.proof_ages.clear()
    fleet.timers.advance(3000)
    assert {tuple(fleet.list_active_at(name)) for name in names} == {
        tuple(before)
    }


@pytest.mark.parametrize('count', [24, 72])
@pytest.mark.parametrize('seed', range(3))
def test_instances_that_knew_only_each_other_join_the_others(count, seed):
    """Guards against a group that keeps confirming each other as active.

    It can form at a common start, if a few instances learn of each other first.
    """
    names = [f'{"abc"[number % 3]}{number}' for number in range(count)]
    fleet = SimulatedFleet(names)
    subset = random.Random(seed).sample(names, 3)
    fleet.known_names = dict.fromkeys(subset, subset)
    fleet.timers.advance(1000)
    fleet.known_names = {}
    fleet.timers.advance(8000)
    answers = {tuple(fleet.list_active_at(name)) for name in names}
    assert len(answers) == 1


CRASHING_REQUEST = 7
#: The required time for knowledge to reach all instances.
_SPREAD_MS = 3000


def crash_servers(fleet, name, *servers):
    """Let the crashing request of an instance end servers one by one."""
    for server in servers:
        fleet.timers.advance(100)
        now_ms = fleet.timers.clock.now_ms()
        fleet.histories[name].record_crash(server, now_ms, [CRASHING_REQUEST])


def list_holders(fleet):
    """Return the names of the instances that hold the crashing request."""
    return {
        name
        for name, history in fleet.histories.items()
        if history.is_quarantined(CRASHING_REQUEST)
    }


@pytest.mark.parametrize('count', [2, 5, 30, 90, 300])
def test_crashing_request_is_held_by_all_instances(count):
    """Three instances, active or not, observe one crash each."""
    names = [f'{"abc"[number % 3]}{number}' for number in range(count)]
    fleet = SimulatedFleet(names)
    fleet.timers.advance(2000)
    for number, name in enumerate((names[0], names[-1], names[count // 2])):
        crash_servers(fleet, name, f's{number}')
    fleet.timers.advance(_SPREAD_MS)
    assert list_holders(fleet) == set(names)


def test_crashes_reach_active_instances_within_milliseconds():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    active = fleet.list_active_at('a1')
    crash_servers(fleet, active[0], 's1', 's2', 's3')
    fleet.timers.advance(10)
    assert set(active) <= list_holders(fleet)


@pytest.mark.parametrize('restarts', [1, 2, 4])
def test_restarted_instance_gets_the_crash_report(restarts):
    """Up to all but one instance restart, one after the other."""
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    crash_servers(fleet, 'a1', 's1', 's2', 's3')
    fleet.timers.advance(_SPREAD_MS)
    for name in NAMES[:restarts]:
        fleet.restart(name)
        fleet.timers.advance(_SPREAD_MS)
        assert list_holders(fleet) == set(NAMES)


def test_isolated_instance_gets_the_crash_report_afterwards():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    fleet.isolated.add('b1')
    crash_servers(fleet, 'a1', 's1', 's2', 's3')
    fleet.timers.advance(_SPREAD_MS)
    assert list_holders(fleet) == set(NAMES) - {'b1'}
    fleet.isolated.clear()
    fleet.timers.advance(_SPREAD_MS)
    assert list_holders(fleet) == set(NAMES)


def test_known_crashes_are_not_sent_again():
    fleet = SimulatedFleet(NAMES)
    fleet.timers.advance(2000)
    crash_servers(fleet, 'a1', 's1', 's2', 's3')
    fleet.timers.advance(_SPREAD_MS)
    fleet.received.clear()
    fleet.timers.advance(_SPREAD_MS)
    assert len(fleet.received) > len(NAMES)
    reports = [one.crashes for _name, one, _asked_ms in fleet.received]
    assert set(reports) == {None}


def list_active(fleet):
    """Return the active instances that all instances agree on, a set."""
    fleet.timers.advance(4000)
    choices = {frozenset(fleet.list_active_at(name)) for name in NAMES}
    assert len(choices) == 1
    return set(choices.pop())


@pytest.mark.parametrize(
    ('lost', 'expected'),
    [
        ({'a1', 'a2'}, {'b1', 'b2', 'c1'}),
        ({'a1', 'a2', 'b1', 'b2'}, {'c1'}),
    ],
)
def test_instances_without_paths_are_active(lost, expected):
    """A whole data centre, and all but one instance."""
    fleet = SimulatedFleet(NAMES)
    before = list_active(fleet)
    fleet.lost_pools = dict.fromkeys(lost, ('pool-a',))
    assert list_active(fleet) == expected
    fleet.lost_pools = {}
    assert list_active(fleet) == before


@pytest.mark.parametrize('pools', [('pool-a',), ('pool-b', 'pool-a')])
def test_nobody_is_active_when_each_lost_a_pool(pools):
    fleet = SimulatedFleet(NAMES)
    before = list_active(fleet)
    fleet.lost_pools = dict.fromkeys(NAMES, pools)
    assert list_active(fleet) == before
