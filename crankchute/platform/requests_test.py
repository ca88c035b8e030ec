"""Tests of parsing and validating callers' requests."""

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
from crankchute.core.forward_job import RetryMode, make_urgency_rank
from crankchute.core.retry_hints import RetryHints
from crankchute.core.route_table import PoolShare, Route
from crankchute.errors import RequestRefused
from crankchute.platform.requests import RequestReader

_MAX_PROOF_AGE_MS = 4000
_AUTHORIZATION = 'Bearer key-1'


class FakeExchange:
    """A minimal ForwardExchange."""

    def __init__(self, **headers):
        merged_headers = {
            'host': 'a.example',
            'x-crankchute-request-id': 'r1',
            'authorization': _AUTHORIZATION,
            'x-crankchute-deadline-ms': '900',
        }
        for name, text in headers.items():
            merged_headers[name.replace('_', '-')] = text
        self.headers = [
            pair for pair in merged_headers.items() if pair[1] is not None
        ]
        self.method = 'POST'
        self.target = '/p/x?y=1'
        self.body = b'body'
        self.arrived_ms = 100

    def take_body(self):
        return self.body

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


class ReaderHarness:
    """A RequestReader with one configuration."""

    def __init__(
        self,
        *,
        keys=True,
        config=True,
        proof_ms=_MAX_PROOF_AGE_MS,
        engines=False,
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
            forward_config = ForwardConfig(
                1, routes, pools, keys=owners if keys else None
            )
            self.holder.offer(forward_config, b'')
            self.holder.confirm(1, 0)
        admission = KeyAdmission(proof_ms)
        self.reader = RequestReader(
            self.holder,
            self.clock,
            admission,
            RetryHints(random.Random(1)),
        )

    def read_refused(self, exchange):
        try:
            self.reader.read(exchange)
        except RequestRefused as refusal:
            return int(refusal.status), refusal.retry_after_ms
        return None


def test_request_is_parsed_into_a_job():
    job = ReaderHarness().reader.read(
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
def test_deadline_is_the_earlier_of_caller_and_route(deadline, expected_ms):
    exchange = FakeExchange(x_crankchute_deadline_ms=deadline)
    assert ReaderHarness().reader.read(exchange).deadline_ms == expected_ms


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
def test_invalid_request_is_refused(headers, status):
    assert ReaderHarness().read_refused(FakeExchange(**headers))[0] == status


def test_request_without_a_configuration_gets_retry_after():
    exchange = FakeExchange(x_crankchute_deadline_ms='10000')
    status, retry_after_ms = ReaderHarness(config=False).read_refused(exchange)
    assert status == 503
    # A shorter delay would make the caller's next attempt fail too.
    assert 1500 <= retry_after_ms <= 2500


@pytest.mark.parametrize(
    ('age_ms', 'is_refused'),
    [(0, False), (_MAX_PROOF_AGE_MS, False), (_MAX_PROOF_AGE_MS + 1, True)],
)
def test_key_check_requires_a_recently_verified_configuration(
    age_ms, is_refused
):
    harness = ReaderHarness()
    harness.clock.time_ms = age_ms
    if is_refused:
        status, retry_after_ms = harness.read_refused(FakeExchange())
        assert status == 503
        assert retry_after_ms > 0
    else:
        assert harness.reader.read(FakeExchange()).account == 'acc'


def test_last_configuration_is_used_without_strict_revocation():
    harness = ReaderHarness(proof_ms=None)
    harness.clock.time_ms = 60_000
    assert harness.reader.read(FakeExchange()).account == 'acc'
    unknown = FakeExchange(authorization='Bearer key-2')
    assert harness.read_refused(unknown)[0] == 401


@pytest.mark.parametrize(
    ('key', 'account'),
    [(_AUTHORIZATION, 'acc'), ('Bearer key-2', None), (None, None)],
)
def test_open_route_requires_neither_key_nor_proof(key, account):
    harness = ReaderHarness()
    harness.clock.time_ms = 60_000
    exchange = FakeExchange(authorization=key)
    exchange.target = '/open/x'
    assert harness.reader.read(exchange).account == account


def test_no_key_is_required_without_accounts():
    exchange = FakeExchange(authorization=None)
    assert ReaderHarness(keys=False).reader.read(exchange).account is None


@pytest.mark.parametrize(
    ('engines', 'token_usage', 'prompt'),
    [
        (True, '1460,80', 1460),
        # Engines are chosen by size; the default is the pool's usual size.
        (True, None, 9000),
        (False, '1460,80', 1460),
        (False, None, None),
    ],
)
def test_prompt_size(engines, token_usage, prompt):
    harness = ReaderHarness(engines=engines)
    exchange = FakeExchange(x_crankchute_token_usage=token_usage)
    size = harness.reader.read(exchange).size
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
def test_fingerprint_is_equal_for_submissions_of_one_request(
    headers, changes, is_same
):
    reader = ReaderHarness().reader
    repeated = FakeExchange(**headers)
    for name, text in changes.items():
        setattr(repeated, name, text)
    expected = reader.read(FakeExchange()).fingerprint
    assert (reader.read(repeated).fingerprint == expected) == is_same


@pytest.mark.parametrize(
    ('priority', 'route_priority', 'other', 'other_route'),
    [
        # The priority of the account takes precedence.
        (0, 2, 1, 0),
        # Among accounts with the same priority, the route decides.
        (1, 0, 1, 1),
        (1, 1, 1, 2),
        # Priorities beyond the range count as its ends.
        (-5, 1, 0, 2),
        (0, 12, 1, 0),
    ],
)
def test_urgency_follows_account_and_route(
    priority, route_priority, other, other_route
):
    """Accounts that all have one priority made all their requests equal."""
    first = make_urgency_rank(priority, route_priority)
    assert first < make_urgency_rank(other, other_route)


def test_urgency_combines_the_priorities_of_account_and_route():
    job = ReaderHarness().reader.read(FakeExchange())
    assert job.priority == 1
    assert job.urgency_rank == make_urgency_rank(1, 3)
