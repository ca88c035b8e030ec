"""Tests that what instances tell each other arrives as it was told."""

import pytest

from crankchute.adapters.peer_records import (
    read_member,
    read_message,
    write_member,
    write_message,
)
from crankchute.core.advertised_limits import AdvertisedLimit
from crankchute.core.crash_report import (
    ClearedRequest,
    Crash,
    CrashReport,
    QuarantinedRequest,
)
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.engine_work import Change, EngineWorkTracker
from crankchute.core.membership import Member
from crankchute.core.peer_message import PeerMessage, WorkBatch, WorkChange
from crankchute.core.work_feed import apply_batch
from crankchute.proto import peer_pb2

TELLER = 'teller'
#: Clocks of two processes have nothing to do with each other.
OWN_MS = 50_000
THEIR_MS = 7_000


def make_message(news, *, is_snapshot=False):
    fields = dict.fromkeys(PeerMessage.__slots__, 0)
    fields.update(
        instance=TELLER,
        boot='boot',
        draining_servers=[],
        removed_servers=[],
        server_health=[],
        limits=[
            AdvertisedLimit('i-1', 2.5, OWN_MS - 300, 'entry-0-1'),
            AdvertisedLimit('i-2', 0, OWN_MS, 'entry-0-2'),
            AdvertisedLimit('i-3', None, OWN_MS - 900, 'entry-1-1'),
        ],
        active=[Member('a', 'b', 3, strength=516, data_centre='z')],
        batch=WorkBatch(4, news, is_snapshot=is_snapshot),
        proof_age_ms=None,
        servers_age_ms=250,
        servers_revision=77,
        crashes=None,
    )
    return PeerMessage(**fields)


def pass_on(message):
    record = write_message(message, OWN_MS)
    payload = record.SerializeToString()
    return read_message(peer_pb2.Briefing.FromString(payload), THEIR_MS)


def make_sent(**changes):
    times = {
        'until_ms': OWN_MS + 900,
        'due_ms': OWN_MS + 300,
        'first_event_at_ms': OWN_MS + 40,
    }
    return make_work_item('key', 'engine', **{**times, **changes})


def test_ages_revisions_and_members_arrive():
    heard = pass_on(make_message([]))
    assert heard.proof_age_ms is None
    assert heard.servers_age_ms == pytest.approx(250)
    assert heard.servers_revision == 77
    assert [one.strength for one in heard.active] == [516]


def test_times_arrive_on_the_clock_of_the_receiver():
    news = [WorkChange(Change.SENT, make_sent())]
    work = pass_on(make_message(news)).batch.changes[0].work
    assert work.until_ms == pytest.approx(THEIR_MS + 900)
    assert work.due_ms == pytest.approx(THEIR_MS + 300)
    assert work.first_event_at_ms == pytest.approx(THEIR_MS + 40)


@pytest.mark.parametrize(
    ('changes', 'known', 'started'),
    [
        ((Change.SENT,), {'key'}, False),
        ((Change.SENT, Change.STARTED), {'key'}, True),
        ((Change.SENT, Change.STARTED, Change.ENDED), set(), None),
    ],
)
def test_board_of_the_receiver_is_that_of_the_teller(changes, known, started):
    work_tracker = EngineWorkTracker(lambda: THEIR_MS)
    for change in changes:
        news = [WorkChange(change, make_sent(memory=500))]
        apply_batch(work_tracker, TELLER, pass_on(make_message(news)).batch)
    state = work_tracker.state('engine')
    assert set(state.works) == known
    assert state.memory == 500 * len(known)
    if known:
        assert state.works['key'].started == started


def test_all_work_tells_everything_of_what_began():
    news = [WorkChange(Change.STARTED, make_sent(memory=500))]
    work_tracker = EngineWorkTracker(lambda: THEIR_MS)
    batch = pass_on(make_message(news, is_snapshot=True)).batch
    apply_batch(work_tracker, TELLER, batch)
    state = work_tracker.state('engine')
    assert state.memory == 500
    assert state.works['key'].started


def test_news_of_what_ended_are_small():
    ended = make_message([WorkChange(Change.ENDED, make_sent())])
    sent = make_message([WorkChange(Change.SENT, make_sent())])
    sizes = [
        write_message(one, OWN_MS).news[0].ByteSize() for one in (ended, sent)
    ]
    assert sizes[0] * 3 < sizes[1]


def test_member_arrives_whole():
    member = Member('a', 'b', 3, strength=2150, draining=True)
    read = read_member(write_member(member))
    for name in Member.__slots__:
        assert getattr(read, name) == getattr(member, name)


def test_crashes_arrive_on_the_clock_of_the_receiver():
    message = make_message([])
    message.crash_digest = 2**64 - 1
    message.crashes = CrashReport(
        [Crash('s1', OWN_MS - 900, {1, 2**64 - 1}, {1: OWN_MS - 950})],
        [QuarantinedRequest(3, OWN_MS - 800, OWN_MS - 20)],
        [ClearedRequest(4, OWN_MS - 700)],
    )
    heard = pass_on(message)
    assert heard.crash_digest == message.crash_digest
    crash, held, cleared = (
        heard.crashes.crashes[0],
        heard.crashes.quarantined[0],
        heard.crashes.cleared[0],
    )
    assert (crash.server, crash.at_ms) == ('s1', THEIR_MS - 900)
    assert crash.requests == {1, 2**64 - 1}
    assert crash.begun_ms == {1: THEIR_MS - 950}
    assert (held.fingerprint, held.held_ms) == (3, THEIR_MS - 800)
    assert held.asked_ms == THEIR_MS - 20
    assert (cleared.fingerprint, cleared.at_ms) == (4, THEIR_MS - 700)


def test_crashes_that_the_receiver_remembers_are_not_told():
    assert pass_on(make_message([])).crashes is None


def test_words_about_limits_arrive_with_their_age():
    told = [
        (one.server, one.limit, THEIR_MS - one.at_ms, one.source)
        for one in pass_on(make_message([])).limits
    ]
    assert told == [
        ('i-1', 2.5, 300, 'entry-0-1'),
        ('i-2', 0, 0, 'entry-0-2'),
        ('i-3', None, 900, 'entry-1-1'),
    ]
