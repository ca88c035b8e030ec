"""Conversion between core objects and the protobuf messages of peers."""

from crankchute.adapters.crash_records import read_crashes, write_crashes
from crankchute.core.briefing import (
    Briefing,
    Impression,
    WorkBatch,
    WorkNews,
)
from crankchute.core.engine_board import Change, Work
from crankchute.core.membership import Member
from crankchute.core.replica import ChangeSet, Entry
from crankchute.core.server_limits import LimitWord
from crankchute.core.suspicion import Signs
from crankchute.proto import peer_pb2

_MEMBER_FIELDS = Member.__slots__
#: Sent in place of a limit for a server that no longer reports one.
_NO_LIMIT = -1
#: Sent in place of an age for data that was never confirmed as current.
_UNKNOWN_AGE = -1


def write_member(member):
    """Return the message for a Member."""
    fields = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    fields['status'] = int(member.status)
    return peer_pb2.MemberRecord(**fields)


def read_member(record):
    """Return the Member of a message."""
    fields = {name: getattr(record, name) for name in _MEMBER_FIELDS}
    return Member(**fields)


def write_changes(changes):
    """Return the message for a ChangeSet, or an empty one for None."""
    if changes is None:
        return peer_pb2.ChangeReply()
    entries = [
        peer_pb2.PublishedEntry(
            key=key,
            revision=entry.revision,
            payload=entry.payload or b'',
            deleted=entry.payload is None,
            may_lapse=entry.may_lapse,
        )
        for key, entry in changes.entries.items()
    ]
    return peer_pb2.ChangeReply(
        since=changes.since,
        revision=changes.revision,
        entries=entries,
    )


def read_changes(reply):
    """Return the ChangeSet of a message."""
    entries = {
        entry.key: Entry(
            entry.revision,
            None if entry.deleted else entry.payload,
            may_lapse=entry.may_lapse,
        )
        for entry in reply.entries
    }
    return ChangeSet(reply.since, reply.revision, entries)


def write_briefing(briefing, now_ms):
    """Return the message for a Briefing.

    Args:
      briefing: A Briefing.
      now_ms: The current time of this process's clock.
    """
    return peer_pb2.Briefing(
        instance=briefing.instance,
        boot=briefing.boot,
        is_serving=briefing.is_serving,
        version=briefing.version,
        proof_age_ms=_write_age(briefing.proof_age_ms),
        servers_revision=briefing.servers_revision,
        servers_age_ms=_write_age(briefing.servers_age_ms),
        active=[write_member(one) for one in briefing.active],
        digest=briefing.digest,
        drained=briefing.drained,
        gone=briefing.gone,
        news=[
            _write_news(one, now_ms, is_whole=briefing.batch.is_whole)
            for one in briefing.batch.news
        ],
        batch=briefing.batch.number,
        is_whole=briefing.batch.is_whole,
        wants_work=briefing.wants_work,
        lacks_work=briefing.lacks_work,
        impressions=[_write_impression(one) for one in briefing.impressions],
        limits=[_write_limit(one, now_ms) for one in briefing.limits],
        crash_digest=briefing.crash_digest,
        crashes=write_crashes(briefing.crashes, now_ms),
    )


def read_briefing(record, now_ms):
    """Return the Briefing of a message.

    Args:
      record: The message.
      now_ms: The current time of this process's clock.
    """
    return Briefing(
        instance=record.instance,
        boot=record.boot,
        is_serving=record.is_serving,
        version=record.version,
        proof_age_ms=_read_age(record.proof_age_ms),
        servers_revision=record.servers_revision,
        servers_age_ms=_read_age(record.servers_age_ms),
        active=[read_member(one) for one in record.active],
        digest=record.digest,
        drained=list(record.drained),
        gone=list(record.gone),
        batch=WorkBatch(
            record.batch,
            [_read_news(one, now_ms) for one in record.news],
            is_whole=record.is_whole,
        ),
        wants_work=record.wants_work,
        lacks_work=record.lacks_work,
        impressions=[
            _read_impression(one, now_ms) for one in record.impressions
        ],
        limits=[_read_limit(one, now_ms) for one in record.limits],
        crash_digest=record.crash_digest,
        crashes=read_crashes(record, now_ms),
    )


def _write_age(age_ms):
    return _UNKNOWN_AGE if age_ms is None else age_ms


def _read_age(age_ms):
    return None if age_ms < 0 else age_ms


def _write_impression(impression):
    return peer_pb2.Impression(
        server=impression.server,
        failures=impression.signs.failures,
        successes=impression.signs.successes,
    )


def _read_impression(record, now_ms):
    signs = Signs(record.failures, record.successes, now_ms)
    return Impression(record.server, signs)


def _write_limit(limit_report, now_ms):
    return peer_pb2.LimitRecord(
        server=limit_report.server,
        limit=_NO_LIMIT if limit_report.limit is None else limit_report.limit,
        age_ms=now_ms - limit_report.at_ms,
        source=limit_report.source,
    )


def _read_limit(record, now_ms):
    return LimitWord(
        record.server,
        None if record.limit < 0 else record.limit,
        now_ms - record.age_ms,
        record.source,
    )


def _write_news(news, now_ms, *, is_whole):
    """Return the message for a WorkNews.

    The details are included only when work was sent and in a batch of all
    work.  For work that started or ended, the receiver knows them by the key.
    """
    work = news.work
    if news.change != Change.SENT and not is_whole:
        return peer_pb2.WorkNews(
            change=int(news.change),
            key=work.key,
            engine=work.engine,
        )
    return peer_pb2.WorkNews(
        change=int(news.change),
        key=work.key,
        engine=work.engine,
        read_ms=work.read_ms,
        memory=work.memory,
        is_writer=work.is_writer,
        gap_ms=work.gap_ms,
        weight=work.weight,
        remaining_ms=work.until_ms - now_ms,
        due_in_ms=work.due_ms - now_ms,
        first_in_ms=work.first_at_ms - now_ms,
        goes_first=work.goes_first,
    )


def _read_news(record, now_ms):
    work = Work(
        record.key,
        record.engine,
        read_ms=record.read_ms,
        memory=record.memory,
        is_writer=record.is_writer,
        gap_ms=record.gap_ms,
        weight=record.weight,
        until_ms=now_ms + record.remaining_ms,
        due_ms=now_ms + record.due_in_ms,
        first_at_ms=now_ms + record.first_in_ms,
        goes_first=record.goes_first,
    )
    return WorkNews(Change(record.change), work)
