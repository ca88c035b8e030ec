"""Tests of the distinction between lost paths and lost servers."""

from functools import partial
from random import Random

import pytest

from crankchute.core.fakes import ManualTimers
from crankchute.core.fleet import Backend, ListedServer
from crankchute.core.forward_fakes import POOL, make_backends, make_job
from crankchute.core.path_ports import PathPorts
from crankchute.core.pool_paths import PathState
from crankchute.core.server_paths import ServerPaths

_PROXY = 'entry-1'
#: Longer than the longest interval between two checks.
_LONG_MS = 2500


class RecordingJournal:
    """Records the logged decisions."""

    def __init__(self):
        self.lines = []

    def log_paths_lost(self, pool, servers, instances):
        self.lines.append(('lost', pool, instances))

    def log_paths_restored(self, pool, lost_for_ms):
        self.lines.append(('restored', pool, lost_for_ms))

    def log_servers_down(self, pool, servers):
        self.lines.append(('down', pool, len(servers)))


class World:
    """The paths of one instance, with given known of checks."""

    def __init__(self, servers=4, probe_ms=400):
        self.timers = ManualTimers()
        self.backends = make_backends(servers)
        self.journal = RecordingJournal()
        self.unreached = set()
        self.unreached_elsewhere = set()
        self.proxies = [_PROXY]
        self.pool_names = {}
        self.probes = 0
        self.questions = 0
        self.unanswered = 0
        self.changes = []
        self.ask_ms = [3]
        self.probe_delay_ms = 1
        self._probe_ms = probe_ms
        self.paths = ServerPaths(
            PathPorts(
                timers=self.timers,
                random=Random(1),
                journal=self.journal,
                pool_of=lambda backend: self.pool_names.get(
                    backend.identity, POOL
                ),
                list_servers=lambda pool: [
                    backend
                    for backend in self.backends
                    if self.pool_names.get(backend.identity, POOL) == pool
                ],
                probe=self._probe,
                ask=self._ask,
                ask_crashed=self._ask_crashed,
                on_changed=self.changes.append,
            )
        )

    def lose_all(self):
        """Lose the paths of this instance to all servers."""
        self.unreached = {one.identity for one in self.backends}

    def suspect(self):
        self.paths.suspect(self.backends[0])
        self.timers.advance(1000)

    def choose(self, *avoided):
        proxy = self.paths.choose_proxy(POOL, avoided)
        return None if proxy is None else proxy.identity

    def _probe(self, backend, on_known):
        self.probes += 1
        is_reached = backend.identity not in self.unreached
        delay_ms = self.probe_delay_ms if is_reached else self._probe_ms
        self.timers.after(delay_ms, lambda: on_known(is_reached))

    def _ask(self, backends, max_proof_age_ms, on_proxy, on_done):
        self.questions += 1
        names = {one.identity for one in backends}

        def answer(is_last):
            if names - self.unreached_elsewhere:
                for name in self.proxies:
                    on_proxy(make_proxy(name))
            if is_last:
                on_done()

        for delay_ms in self.ask_ms:
            is_last = delay_ms == self.ask_ms[-1]
            self.timers.after(delay_ms, partial(answer, is_last))

    def _ask_crashed(self, backend, on_known):
        self.questions += 1
        has_crashed = (
            backend.identity in self.unreached_elsewhere or not self.proxies
        )
        if self.questions <= self.unanswered:
            has_crashed = None
        self.timers.after(3, lambda: on_known(has_crashed))


def make_proxy(name):
    return Backend(
        ListedServer(
            {
                'id': name,
                'kind': 'entry',
                'address': '127.0.0.1:9000',
                'data_centre': 'one',
            }
        )
    )


@pytest.mark.parametrize(
    ('down', 'down_elsewhere', 'state', 'kinds'),
    [
        (0, 0, PathState.REACHED, []),
        (1, 0, PathState.REACHED, []),
        (4, 0, PathState.LOST, ['lost']),
        (4, 4, PathState.REACHED, ['down']),
        (3, 3, PathState.REACHED, ['down']),
    ],
)
def test_lost_servers_are_taken_for_lost_paths(
    down, down_elsewhere, state, kinds
):
    """Otherwise instances pass requests around when a pool is down."""
    world = World()
    names = [one.identity for one in world.backends]
    world.unreached = set(names[:down])
    world.unreached_elsewhere = set(names[:down_elsewhere])
    world.suspect()
    lost = world.paths.lost_pools == (POOL,)
    assert lost == (state == PathState.LOST)
    assert [line[0] for line in world.journal.lines] == kinds
    assert (world.choose() == _PROXY) == lost


def test_late_answers_of_instances_hide_lost_paths():
    """The check is repeated, although no further request fails."""
    world = World()
    world.proxies = []
    world.lose_all()
    world.suspect()
    assert not world.paths.is_lost(POOL)
    world.proxies = [_PROXY]
    world.timers.advance(2000)
    assert world.paths.is_lost(POOL)
    assert [line[0] for line in world.journal.lines] == ['down', 'lost']


def test_failure_soon_after_a_check_is_ignored():
    """Perhaps no further request fails, as open connections still work."""
    world = World()
    world.suspect()
    world.paths.suspect(world.backends[0])
    world.timers.advance(10)
    world.lose_all()
    world.paths.suspect(world.backends[0])
    world.timers.advance(_LONG_MS)
    assert world.paths.is_lost(POOL)


def test_retries_multiply_when_paths_are_lost_again():
    world = World(probe_ms=1)
    for _ in range(30):
        world.lose_all()
        world.paths.suspect(world.backends[0])
        world.timers.advance(270)
        assert world.paths.is_lost(POOL)
        world.unreached = set()
        world.timers.advance(510)
        assert not world.paths.is_lost(POOL)
    world.lose_all()
    world.paths.suspect(world.backends[0])
    world.timers.advance(300)
    earlier = world.probes
    world.timers.advance(10_000)
    assert world.probes - earlier <= 21 * 2


def test_late_answer_decides_a_later_check():
    """The paths are back when it arrives, and the next check is running."""
    world = World(probe_ms=100)
    world.ask_ms = [3, 900]
    world.lose_all()
    world.paths.suspect(world.backends[0])
    world.timers.advance(110)
    assert world.paths.is_lost(POOL)
    world.unreached = set()
    world.timers.advance(510)
    assert not world.paths.is_lost(POOL)
    world.probe_delay_ms = 300
    world.paths.suspect(world.backends[0])
    world.timers.advance(430)
    assert not world.paths.is_lost(POOL)


@pytest.mark.parametrize('is_down_elsewhere', [False, True])
def test_checks_multiply(is_down_elsewhere):
    """Paths that are lost again and again must not add series of checks."""
    world = World(probe_ms=1)
    names = {one.identity for one in world.backends}
    world.unreached_elsewhere = names if is_down_elsewhere else set()
    for step in range(400):
        world.unreached = names if is_down_elsewhere or step % 2 else set()
        world.paths.suspect(world.backends[0])
        world.timers.advance(260)
    earlier = world.probes
    world.lose_all()
    for _ in range(100):
        world.paths.suspect(world.backends[0])
        world.timers.advance(100)
    assert world.probes - earlier <= 24 * 2


def test_servers_that_are_back_are_checked_forever():
    world = World()
    world.unreached_elsewhere = {one.identity for one in world.backends}
    world.lose_all()
    world.suspect()
    world.timers.advance(5000)
    world.unreached = set()
    world.timers.advance(2000)
    probes = world.probes
    world.timers.advance(10_000)
    assert world.probes == probes
    assert [line[0] for line in world.journal.lines] == ['down']


def test_loss_of_one_pool_counts_for_another():
    world = World(servers=6)
    far, near = world.backends[:3], world.backends[3:]
    world.pool_names = {one.identity: 'far' for one in far}
    world.unreached = set(world.pool_names)
    for backend in (far[0], near[0]):
        world.paths.suspect(backend)
    world.timers.advance(1000)
    assert world.paths.lost_pools == ('far',)
    assert not world.paths.is_lost(POOL)
    assert world.choose() is None
    near[0].record_failed(world.timers.clock.now_ms())
    world.unreached = set()
    world.timers.advance(1000)
    assert not world.paths.lost_pools
    now_ms = world.timers.clock.now_ms()
    assert near[0].failure_estimator.failure_probability(now_ms) > 0


@pytest.mark.parametrize('servers', [1, 2, 4, 40])
def test_end_of_loss_is_found_without_requests(servers):
    world = World(servers)
    world.lose_all()
    world.suspect()
    assert world.paths.is_lost(POOL)
    world.timers.advance(5000)
    assert world.paths.is_lost(POOL)
    world.unreached = set()
    world.timers.advance(600)
    assert not world.paths.is_lost(POOL)
    assert world.choose() is None
    assert world.changes == [POOL, POOL]


def test_failures_over_lost_paths_are_kept_against_servers():
    world = World()
    world.lose_all()
    for backend in world.backends:
        for _ in range(4):
            backend.record_failed(world.timers.clock.now_ms())
    world.suspect()
    sent_ms = world.timers.clock.now_ms()
    world.backends[0].record_failed(sent_ms)
    world.unreached = set()
    world.timers.advance(1000)
    now_ms = world.timers.clock.now_ms()
    world.backends[1].record_failed(now_ms, sent_ms=sent_ms)
    world.backends[2].record_overdue(now_ms, sent_ms)
    for one in world.backends:
        assert one.breaker.allows(now_ms)
        assert one.failure_estimator.failure_probability(now_ms) == 0


def test_requests_try_servers_while_a_check_is_running():
    """They wait for its result instead, and no longer."""
    world = World()
    world.lose_all()
    known = []
    world.paths.after_check(make_job(), lambda: known.append('at once'))
    world.paths.suspect(world.backends[0])
    world.paths.after_check(make_job(), lambda: known.append('waited'))
    assert known == ['at once']
    world.timers.advance(399)
    assert known == ['at once']
    world.timers.advance(10)
    assert known == ['at once', 'waited']
    assert world.paths.is_lost(POOL)


def test_failing_server_causes_endless_checks():
    """Connections to servers have a price, so checks become rarer."""
    world = World()
    world.unreached = {world.backends[0].identity}
    for _ in range(600):
        world.paths.suspect(world.backends[0])
        world.timers.advance(100)
    assert 25 * 2 <= world.probes <= 40 * 2
    assert not world.paths.lost_pools


def test_proxy_that_lost_its_own_paths_is_used():
    world = World()
    world.proxies = [_PROXY, 'entry-2']
    world.lose_all()
    world.suspect()
    assert {world.choose(), world.choose()} <= set(world.proxies)
    assert world.choose(_PROXY) == 'entry-2'
    world.proxies = ['entry-2']
    world.timers.advance(4000)
    assert world.choose() == 'entry-2'
    assert world.choose('entry-2') is None
    world.proxies = []
    world.timers.advance(4000)
    assert world.choose() is None
    assert world.paths.is_lost(POOL)


@pytest.mark.parametrize(
    ('lost_here', 'lost_elsewhere', 'has_crashed'),
    [(1, 1, True), (1, 0, False), (4, 0, False), (4, 4, True)],
)
def test_lost_path_counts_as_a_crash(lost_here, lost_elsewhere, has_crashed):
    world = World()
    names = [one.identity for one in world.backends]
    world.unreached = set(names[:lost_here])
    world.unreached_elsewhere = set(names[:lost_elsewhere])
    known = []
    world.paths.suspect(world.backends[0])
    world.paths.confirm_crash(world.backends[0], known.append)
    world.timers.advance(1000)
    assert known == [has_crashed]


def test_crash_is_unknown_without_other_instances():
    world = World()
    world.proxies = []
    world.lose_all()
    known = []
    world.paths.confirm_crash(world.backends[0], known.append)
    world.timers.advance(_LONG_MS)
    assert known == [True]


@pytest.mark.parametrize(
    ('unanswered', 'has_crashed'), [(1, True), (2, True), (3, False)]
)
def test_crash_is_denied_because_no_instance_answers(unanswered, has_crashed):
    """They are asked again, but no crash is reported without an answer."""
    world = World()
    world.unreached_elsewhere = {world.backends[0].identity}
    world.unanswered = unanswered
    known = []
    world.paths.confirm_crash(world.backends[0], known.append)
    world.timers.advance(_LONG_MS)
    assert known == [has_crashed]
