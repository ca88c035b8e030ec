"""Tests that messages between instances survive a round trip."""

import pytest

from crankchute.adapters.peer_records import (
    read_changes,
    read_member,
    read_message,
    write_changes,
    write_member,
    write_message,
)
from crankchute.core.account_shares import NO_ACCOUNT, hash_account
from crankchute.core.advertised_limits import AdvertisedLimit
from crankchute.core.crash_report import (
    ClearedSuspect,
    Crash,
    CrashReport,
    Quarantine,
)
from crankchute.core.engine_fakes import make_work_item
from crankchute.core.engine_work import Change, EngineWorkTracker
from crankchute.core.evacuations import Evacuation
from crankchute.core.membership import Member
from crankchute.core.peer_message import PeerMessage, WorkBatch, WorkChange
from crankchute.core.replica import ChangeSet
from crankchute.core.work_feed import apply_batch
from crankchute.proto import peer_pb2

SENDER = 'sender'
#: The clocks of two processes are unrelated.
SENDER_MS = 50_000
RECEIVER_MS = 7_000


def make_message(news, *, is_snapshot=False):
    fields = dict.fromkeys(PeerMessage.__slots__, 0)
    fields.update(
        instance=SENDER,
        boot='boot',
        draining_servers=[],
        removed_servers=[],
        server_health=[],
        limits=[
            AdvertisedLimit('i-1', 2.5, SENDER_MS - 300, 'entry-0-1'),
            AdvertisedLimit('i-2', 0, SENDER_MS, 'entry-0-2'),
            AdvertisedLimit('i-3', None, SENDER_MS - 900, 'entry-1-1'),
        ],
        evacuations=(
            Evacuation('z1', 2**62, is_evacuated=True),
            Evacuation('z2', 7, is_evacuated=False),
        ),
        knows_evacuations=True,
        lost_pools=('pool-a', 'pool-b'),
        active=[Member('a', 'b', 3, strength=516, data_centre='z')],
        batch=WorkBatch(4, news, is_snapshot=is_snapshot),
        proof_age_ms=None,
        servers_age_ms=250,
        servers_revision=77,
        crashes=None,
    )
    return PeerMessage(**fields)


def send_and_receive(message):
    record = write_message(message, SENDER_MS)
    payload = record.SerializeToString()
    return read_message(peer_pb2.Briefing.FromString(payload), RECEIVER_MS)


def make_sent_work(**changes):
    times = {
        'until_ms': SENDER_MS + 900,
        'due_ms': SENDER_MS + 300,
        'first_event_at_ms': SENDER_MS + 40,
    }
    return make_work_item('key', 'engine', **{**times, **changes})


def test_ages_revisions_and_members_survive_a_round_trip():
    received = send_and_receive(make_message([]))
    assert received.proof_age_ms is None
    assert received.servers_age_ms == pytest.approx(250)
    assert received.servers_revision == 77
    assert received.lost_pools == ('pool-a', 'pool-b')
    assert [one.strength for one in received.active] == [516]


@pytest.mark.parametrize(
    ('since', 'told', 'expected'),
    [(0, 4, 4), (3, 4, 4), (0, None, 9), (3, None, 3)],
)
def test_deletions_of_a_list_survive_a_round_trip(since, told, expected):
    record = write_changes(ChangeSet(since, 9, {}, told))
    assert read_changes(record).deletions_since == expected


@pytest.mark.parametrize('since', [0, 3])
def test_sender_that_tells_no_deletions_is_taken_to_know_them(since):
    record = write_changes(ChangeSet(since, 9, {}))
    record.ClearField('deletions_since')
    assert read_changes(record).deletions_since == 9


def test_times_are_converted_to_the_clock_of_the_receiver():
    news = [WorkChange(Change.SENT, make_sent_work())]
    work = send_and_receive(make_message(news)).batch.changes[0].work
    assert work.until_ms == pytest.approx(RECEIVER_MS + 900)
    assert work.due_ms == pytest.approx(RECEIVER_MS + 300)
    assert work.first_event_at_ms == pytest.approx(RECEIVER_MS + 40)


@pytest.mark.parametrize('is_snapshot', [True, False])
@pytest.mark.parametrize(
    ('account', 'expected'),
    [(hash_account('acc'), {hash_account('acc')}), (NO_ACCOUNT, set())],
)
def test_receiver_records_the_work_for_the_account(
    account, expected, is_snapshot
):
    """Otherwise an instance would compute shares from its own work only."""
    news = [WorkChange(Change.SENT, make_sent_work(account=account))]
    work_tracker = EngineWorkTracker(lambda: RECEIVER_MS)
    message = make_message(news, is_snapshot=is_snapshot)
    apply_batch(work_tracker, SENDER, send_and_receive(message).batch)
    shares = work_tracker.account_shares
    listed = shares.list_largest(2, RECEIVER_MS)
    assert {usage.account for usage in listed} == expected


@pytest.mark.parametrize(
    ('changes', 'known', 'started'),
    [
        ((Change.SENT,), {'key'}, False),
        ((Change.SENT, Change.STARTED), {'key'}, True),
        ((Change.SENT, Change.STARTED, Change.ENDED), set(), None),
    ],
)
def test_board_of_the_receiver_matches_the_sender(changes, known, started):
    work_tracker = EngineWorkTracker(lambda: RECEIVER_MS)
    for change in changes:
        news = [WorkChange(change, make_sent_work(memory=500))]
        apply_batch(
            work_tracker, SENDER, send_and_receive(make_message(news)).batch
        )
    state = work_tracker.state('engine')
    assert set(state.works) == known
    assert state.memory == 500 * len(known)
    if known:
        assert state.works['key'].started == started


def test_batch_of_all_work_includes_details_of_started_work():
    news = [WorkChange(Change.STARTED, make_sent_work(memory=500))]
    work_tracker = EngineWorkTracker(lambda: RECEIVER_MS)
    batch = send_and_receive(make_message(news, is_snapshot=True)).batch
    apply_batch(work_tracker, SENDER, batch)
    state = work_tracker.state('engine')
    assert state.memory == 500
    assert state.works['key'].started


def test_messages_about_ended_work_omit_the_details():
    ended = make_message([WorkChange(Change.ENDED, make_sent_work())])
    sent = make_message([WorkChange(Change.SENT, make_sent_work())])
    sizes = [
        write_message(one, SENDER_MS).news[0].ByteSize()
        for one in (ended, sent)
    ]
    assert sizes[0] * 3 < sizes[1]


def test_all_fields_of_a_member_survive_a_round_trip():
    member = Member('a', 'b', 3, strength=2150, draining=True)
    read = read_member(write_member(member))
    for name in Member.__slots__:
        assert getattr(read, name) == getattr(member, name)


def test_crash_times_are_converted_to_the_clock_of_the_receiver():
    message = make_message([])
    message.crash_digest = 2**64 - 1
    message.crashes = CrashReport(
        [Crash('s1', SENDER_MS - 900, {1, 2**64 - 1}, {1: SENDER_MS - 950})],
        [Quarantine((3, 5), SENDER_MS - 800, SENDER_MS - 20, 2)],
        [ClearedSuspect(4, SENDER_MS - 700)],
    )
    received = send_and_receive(message)
    assert received.crash_digest == message.crash_digest
    crash, held, cleared = (
        received.crashes.crashes[0],
        received.crashes.quarantined[0],
        received.crashes.cleared[0],
    )
    assert (crash.server, crash.at_ms) == ('s1', RECEIVER_MS - 900)
    assert crash.requests == {1, 2**64 - 1}
    assert crash.begun_ms == {1: RECEIVER_MS - 950}
    assert (held.suspects, held.held_ms) == ({3, 5}, RECEIVER_MS - 800)
    assert held.asked_ms == RECEIVER_MS - 20
    assert held.trials == 2
    assert (cleared.fingerprint, cleared.at_ms) == (4, RECEIVER_MS - 700)


def test_missing_crashes_stay_missing():
    assert send_and_receive(make_message([])).crashes is None


def test_limits_keep_their_age_and_source():
    received_limits = [
        (one.server, one.limit, RECEIVER_MS - one.at_ms, one.source)
        for one in send_and_receive(make_message([])).limits
    ]
    assert received_limits == [
        ('i-1', 2.5, 300, 'entry-0-1'),
        ('i-2', 0, 0, 'entry-0-2'),
        ('i-3', None, 900, 'entry-1-1'),
    ]


def test_evacuations_keep_their_positions():
    """A lost era in a position would let an outdated record win."""
    received = send_and_receive(make_message([]))
    assert received.knows_evacuations is True
    assert [
        (one.data_centre, one.position, one.is_evacuated)
        for one in received.evacuations
    ] == [('z1', 2**62, True), ('z2', 7, False)]


def test_message_without_evacuations_knows_none():
    """Instances without the setting must not count as knowing that none are."""
    received = read_message(peer_pb2.Briefing(instance=SENDER), RECEIVER_MS)
    assert received.knows_evacuations is False
    assert received.evacuations == ()
