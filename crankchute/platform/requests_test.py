"""Tests of checking callers' requests against the configuration."""

import random

import pytest

from crankchute.core.admission import KeyAdmission
from crankchute.core.fakes import ManualClock
from crankchute.core.forward_config import (
    ForwardConfig,
    ForwardConfigHolder,
    KeyOwner,
    PoolConfig,
)
from crankchute.core.forward_fakes import make_figures
from crankchute.core.forward_job import RetryMode
from crankchute.core.retry_hints import RetryHints
from crankchute.core.route_table import PoolShare, Route
from crankchute.errors import RequestRefused
from crankchute.platform.requests import RequestReader

_PROOF_MS = 4000
_KEY = 'Bearer key-1'


class FakeExchange:
    """A request as the server hands it over."""

    def __init__(self, **headers):
        chosen = {
            'host': 'a.example',
            'x-crankchute-request-id': 'r1',
            'authorization': _KEY,
            'x-crankchute-deadline-ms': '900',
        }
        for given, told in headers.items():
            chosen[given.replace('_', '-')] = told
        self.headers = [pair for pair in chosen.items() if pair[1] is not None]
        self.method = 'POST'
        self.target = '/p/x?y=1'
        self.body = b'body'
        self.arrived_ms = 100

    def header(self, name):
        return dict(self.headers).get(name)


def make_route(prefix, *, is_open):
    return Route(
        name=prefix,
        host='a.example',
        prefix=prefix,
        shares=(PoolShare('pool', 1),),
        repeat=RetryMode.RESUME,
        is_stream=True,
        is_open=is_open,
        timeout_ms=2000,
        goal_ms=300,
        gap_ms=250,
        priority=3,
        max_attempts=2,
    )


class World:
    """A reader over one configuration."""

    def __init__(
        self, *, keys=True, config=True, proof_ms=_PROOF_MS, engines=False
    ):
        self.clock = ManualClock()
        self.holder = ForwardConfigHolder()
        routes = [
            make_route('/p/', is_open=False),
            make_route('/open/', is_open=True),
        ]
        owners = {
            'key-1': KeyOwner('acc', 1),
            'key-3': KeyOwner('acc', 1),
            'key-4': KeyOwner('other', 1),
        }
        pools = [PoolConfig('pool', 8, make_figures() if engines else None)]
        if config:
            found = ForwardConfig(
                1, routes, pools, keys=owners if keys else None
            )
            self.holder.offer(found, b'')
            self.holder.confirm(1, 0)
        admission = KeyAdmission(proof_ms)
        self.reader = RequestReader(
            self.holder,
            self.clock,
            admission,
            RetryHints(random.Random(1)),
        )

    def refuse(self, exchange):
        try:
            self.reader.read(exchange)
        except RequestRefused as refusal:
            return int(refusal.status), refusal.retry_after_ms
        return None


def test_job_of_a_request():
    job = World().reader.read(
        FakeExchange(
            last_event_id='7',
            x_crankchute_token_usage='4960,1500',
            x_crankchute_tenant='somebody else',
            x_crankchute_target_instance='i-9',
            x_kept='yes',
            connection='x-dropped',
            x_dropped='no',
        )
    )
    assert (job.request_id, job.account, job.priority) == ('r1', 'acc', 1)
    assert (job.size.prompt, job.size.answer) == (4960, 1500)
    assert job.deadline_ms == 1000
    assert job.resume_after == 7
    names = {name for name, _text in job.payload.headers}
    assert names == {
        'host',
        'x-crankchute-request-id',
        'x-crankchute-token-usage',
        'x-kept',
    }
    assert job.payload.target == '/p/x?y=1'


@pytest.mark.parametrize(
    ('deadline', 'expected_ms'),
    [('900', 1000), ('99999', 2100), (None, 2100)],
)
def test_deadline_is_the_sooner_of_two(deadline, expected_ms):
    exchange = FakeExchange(x_crankchute_deadline_ms=deadline)
    assert World().reader.read(exchange).deadline_ms == expected_ms


@pytest.mark.parametrize(
    ('headers', 'status'),
    [
        ({'host': 'b.example'}, 404),
        ({'host': None}, 404),
        ({'authorization': None}, 401),
        ({'authorization': 'Bearer key-2'}, 401),
        ({'authorization': 'Basic key-1'}, 401),
        ({'x_crankchute_request_id': None}, 400),
        ({'x_crankchute_request_id': 'x' * 201}, 400),
        ({'x_crankchute_deadline_ms': 'soon'}, 400),
        ({'x_crankchute_token_usage': '5'}, 400),
        ({'x_crankchute_token_usage': '-5,2'}, 400),
    ],
)
def test_refusals(headers, status):
    assert World().refuse(FakeExchange(**headers))[0] == status


def test_without_a_configuration_nothing_is_denied():
    exchange = FakeExchange(x_crankchute_deadline_ms='10000')
    status, retry_after_ms = World(config=False).refuse(exchange)
    assert status == 503
    # Long enough that the caller's next try is not in vain too.
    assert 1500 <= retry_after_ms <= 2500


@pytest.mark.parametrize(
    ('age_ms', 'is_refused'),
    [(0, False), (_PROOF_MS, False), (_PROOF_MS + 1, True)],
)
def test_keys_need_a_fresh_proof(age_ms, is_refused):
    world = World()
    world.clock.time_ms = age_ms
    if is_refused:
        status, retry_after_ms = world.refuse(FakeExchange())
        assert status == 503
        assert retry_after_ms > 0
    else:
        assert world.reader.read(FakeExchange()).account == 'acc'


def test_where_revocation_is_not_strict_the_last_configuration_serves():
    world = World(proof_ms=None)
    world.clock.time_ms = 60_000
    assert world.reader.read(FakeExchange()).account == 'acc'
    unknown = FakeExchange(authorization='Bearer key-2')
    assert world.refuse(unknown)[0] == 401


@pytest.mark.parametrize(
    ('key', 'account'),
    [(_KEY, 'acc'), ('Bearer key-2', None), (None, None)],
)
def test_open_routes_need_neither_key_nor_proof(key, account):
    world = World()
    world.clock.time_ms = 60_000
    exchange = FakeExchange(authorization=key)
    exchange.target = '/open/x'
    assert world.reader.read(exchange).account == account


def test_without_accounts_no_key_is_asked_for():
    exchange = FakeExchange(authorization=None)
    assert World(keys=False).reader.read(exchange).account is None


@pytest.mark.parametrize(
    ('engines', 'told', 'prompt'),
    [
        (True, '1460,80', 1460),
        # Engines are chosen by size, so an untold one is the usual.
        (True, None, 9000),
        (False, '1460,80', 1460),
        (False, None, None),
    ],
)
def test_size_of_a_prompt(engines, told, prompt):
    world = World(engines=engines)
    exchange = FakeExchange(x_crankchute_token_usage=told)
    size = world.reader.read(exchange).size
    assert (size and size.prompt) == prompt


@pytest.mark.parametrize(
    ('headers', 'changes', 'is_same'),
    [
        ({'x_crankchute_request_id': 'r2'}, {}, True),
        ({'x_crankchute_deadline_ms': '50', 'last_event_id': '4'}, {}, True),
        ({'authorization': 'Bearer key-3'}, {}, True),
        ({'authorization': 'Bearer key-4'}, {}, False),
        ({}, {'body': b'bodies'}, False),
        ({}, {'target': '/p/x?y=2'}, False),
        ({}, {'method': 'PUT'}, False),
        ({}, {'target': '/p/x?y=', 'body': b'1body'}, False),
    ],
)
def test_all_submissions_of_a_request_have_one_fingerprint(
    headers, changes, is_same
):
    reader = World().reader
    again = FakeExchange(**headers)
    for name, told in changes.items():
        setattr(again, name, told)
    first = reader.read(FakeExchange()).fingerprint
    assert (reader.read(again).fingerprint == first) == is_same
