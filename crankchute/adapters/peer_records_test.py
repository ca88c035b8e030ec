"""Tests that messages between instances survive a round trip."""

import pytest

from crankchute.adapters.peer_records import (
    read_briefing,
    read_member,
    write_briefing,
    write_member,
)
from crankchute.core.briefing import Briefing, WorkBatch, WorkNews
from crankchute.core.crash_news import (
    ClearedRequest,
    Crash,
    CrashNews,
    HeldRequest,
)
from crankchute.core.engine_board import Change, EngineBoard
from crankchute.core.engine_fakes import make_work
from crankchute.core.membership import Member
from crankchute.core.server_limits import LimitWord
from crankchute.core.work_feed import apply_batch
from crankchute.proto import peer_pb2

SENDER = 'sender'
#: The clocks of two processes are unrelated.
SENDER_MS = 50_000
RECEIVER_MS = 7_000


def make_briefing(news, *, is_whole=False):
    fields = dict.fromkeys(Briefing.__slots__, 0)
    fields.update(
        instance=SENDER,
        boot='boot',
        drained=[],
        gone=[],
        impressions=[],
        limits=[
            LimitWord('i-1', 2.5, SENDER_MS - 300, 'entry-0-1'),
            LimitWord('i-2', 0, SENDER_MS, 'entry-0-2'),
            LimitWord('i-3', None, SENDER_MS - 900, 'entry-1-1'),
        ],
        active=[Member('a', 'b', 3, strength=516, data_centre='z')],
        batch=WorkBatch(4, news, is_whole=is_whole),
        proof_age_ms=None,
        servers_age_ms=250,
        servers_revision=77,
        crashes=None,
    )
    return Briefing(**fields)


def send_and_receive(briefing):
    record = write_briefing(briefing, SENDER_MS)
    payload = record.SerializeToString()
    return read_briefing(peer_pb2.Briefing.FromString(payload), RECEIVER_MS)


def make_sent_work(**changes):
    times = {
        'until_ms': SENDER_MS + 900,
        'due_ms': SENDER_MS + 300,
        'first_at_ms': SENDER_MS + 40,
    }
    return make_work('key', 'engine', **{**times, **changes})


def test_ages_revisions_and_members_survive_a_round_trip():
    received = send_and_receive(make_briefing([]))
    assert received.proof_age_ms is None
    assert received.servers_age_ms == pytest.approx(250)
    assert received.servers_revision == 77
    assert [one.strength for one in received.active] == [516]


def test_times_are_converted_to_the_clock_of_the_receiver():
    news = [WorkNews(Change.SENT, make_sent_work())]
    work = send_and_receive(make_briefing(news)).batch.news[0].work
    assert work.until_ms == pytest.approx(RECEIVER_MS + 900)
    assert work.due_ms == pytest.approx(RECEIVER_MS + 300)
    assert work.first_at_ms == pytest.approx(RECEIVER_MS + 40)


@pytest.mark.parametrize(
    ('changes', 'known', 'started'),
    [
        ((Change.SENT,), {'key'}, False),
        ((Change.SENT, Change.STARTED), {'key'}, True),
        ((Change.SENT, Change.STARTED, Change.ENDED), set(), None),
    ],
)
def test_board_of_the_receiver_matches_the_sender(changes, known, started):
    board = EngineBoard(lambda: RECEIVER_MS)
    for change in changes:
        news = [WorkNews(change, make_sent_work(memory=500))]
        apply_batch(board, SENDER, send_and_receive(make_briefing(news)).batch)
    state = board.state('engine')
    assert set(state.works) == known
    assert state.memory == 500 * len(known)
    if known:
        assert state.works['key'].started == started


def test_batch_of_all_work_includes_details_of_started_work():
    news = [WorkNews(Change.STARTED, make_sent_work(memory=500))]
    board = EngineBoard(lambda: RECEIVER_MS)
    batch = send_and_receive(make_briefing(news, is_whole=True)).batch
    apply_batch(board, SENDER, batch)
    state = board.state('engine')
    assert state.memory == 500
    assert state.works['key'].started


def test_messages_about_ended_work_omit_the_details():
    ended = make_briefing([WorkNews(Change.ENDED, make_sent_work())])
    sent = make_briefing([WorkNews(Change.SENT, make_sent_work())])
    sizes = [
        write_briefing(one, SENDER_MS).news[0].ByteSize()
        for one in (ended, sent)
    ]
    assert sizes[0] * 3 < sizes[1]


def test_all_fields_of_a_member_survive_a_round_trip():
    member = Member('a', 'b', 3, strength=2150, draining=True)
    read = read_member(write_member(member))
    for name in Member.__slots__:
        assert getattr(read, name) == getattr(member, name)


def test_crash_times_are_converted_to_the_clock_of_the_receiver():
    briefing = make_briefing([])
    briefing.crash_digest = 2**64 - 1
    briefing.crashes = CrashNews(
        [Crash('s1', SENDER_MS - 900, {1, 2**64 - 1}, {1: SENDER_MS - 950})],
        [HeldRequest(3, SENDER_MS - 800, SENDER_MS - 20)],
        [ClearedRequest(4, SENDER_MS - 700)],
    )
    received = send_and_receive(briefing)
    assert received.crash_digest == briefing.crash_digest
    crash, held, cleared = (
        received.crashes.crashes[0],
        received.crashes.held[0],
        received.crashes.cleared[0],
    )
    assert (crash.server, crash.at_ms) == ('s1', RECEIVER_MS - 900)
    assert crash.requests == {1, 2**64 - 1}
    assert crash.begun_ms == {1: RECEIVER_MS - 950}
    assert (held.fingerprint, held.held_ms) == (3, RECEIVER_MS - 800)
    assert held.asked_ms == RECEIVER_MS - 20
    assert (cleared.fingerprint, cleared.at_ms) == (4, RECEIVER_MS - 700)


def test_missing_crashes_stay_missing():
    assert send_and_receive(make_briefing([])).crashes is None


def test_limits_keep_their_age_and_source():
    received_limits = [
        (one.server, one.limit, RECEIVER_MS - one.at_ms, one.source)
        for one in send_and_receive(make_briefing([])).limits
    ]
    assert received_limits == [
        ('i-1', 2.5, 300, 'entry-0-1'),
        ('i-2', 0, 0, 'entry-0-2'),
        ('i-3', None, 900, 'entry-1-1'),
    ]
