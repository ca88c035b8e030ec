"""Conversion between core objects and the protobuf messages of peers."""

from crankchute.adapters.crash_records import read_crashes, write_crashes
from crankchute.adapters.evacuation_records import (
    read_evacuations,
    write_evacuations,
)
from crankchute.core.advertised_limits import AdvertisedLimit
from crankchute.core.engine_work import Change, WorkItem
from crankchute.core.failure_estimator import OutcomeCounts
from crankchute.core.membership import Member
from crankchute.core.peer_message import (
    PeerMessage,
    ServerHealth,
    WorkBatch,
    WorkChange,
)
from crankchute.core.replica import ChangeSet, Entry
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
            may_lapse=entry.may_have_expired,
        )
        for key, entry in changes.entries.items()
    ]
    return peer_pb2.ChangeReply(
        since=changes.since,
        revision=changes.revision,
        entries=entries,
        deletions_since=changes.deletions_since,
    )


def read_changes(reply):
    """Return the ChangeSet of a message."""
    entries = {
        entry.key: Entry(
            entry.revision,
            None if entry.deleted else entry.payload,
            may_have_expired=entry.may_lapse,
        )
        for entry in reply.entries
    }
    return ChangeSet(
        reply.since,
        reply.revision,
        entries,
        reply.deletions_since or reply.revision,
    )


def write_message(message, now_ms):
    """Return the message for a PeerMessage.

    Args:
      message: A PeerMessage.
      now_ms: The current time of this process's clock.
    """
    return peer_pb2.Briefing(
        instance=message.instance,
        boot=message.boot,
        is_serving=message.is_serving,
        version=message.version,
        proof_age_ms=_write_age(message.proof_age_ms),
        servers_revision=message.servers_revision,
        servers_age_ms=_write_age(message.servers_age_ms),
        active=[write_member(one) for one in message.active],
        digest=message.digest,
        drained=message.draining_servers,
        gone=message.removed_servers,
        news=[
            _write_work_change(
                one, now_ms, is_snapshot=message.batch.is_snapshot
            )
            for one in message.batch.changes
        ],
        batch=message.batch.number,
        is_whole=message.batch.is_snapshot,
        wants_work=message.subscribes_to_work,
        lacks_work=message.needs_snapshot,
        impressions=[
            _write_server_health(one) for one in message.server_health
        ],
        limits=[_write_limit(one, now_ms) for one in message.limits],
        evacuations=write_evacuations(message.evacuations),
        knows_evacuations=message.knows_evacuations,
        lost_pools=message.lost_pools,
        crash_digest=message.crash_digest,
        crashes=write_crashes(message.crashes, now_ms),
    )


def read_message(record, now_ms):
    """Return the PeerMessage of a message.

    Args:
      record: The message.
      now_ms: The current time of this process's clock.
    """
    return PeerMessage(
        instance=record.instance,
        boot=record.boot,
        is_serving=record.is_serving,
        version=record.version,
        proof_age_ms=_read_age(record.proof_age_ms),
        servers_revision=record.servers_revision,
        servers_age_ms=_read_age(record.servers_age_ms),
        active=[read_member(one) for one in record.active],
        digest=record.digest,
        draining_servers=list(record.drained),
        removed_servers=list(record.gone),
        batch=WorkBatch(
            record.batch,
            [_read_work_change(one, now_ms) for one in record.news],
            is_snapshot=record.is_whole,
        ),
        subscribes_to_work=record.wants_work,
        needs_snapshot=record.lacks_work,
        server_health=[
            _read_server_health(one, now_ms) for one in record.impressions
        ],
        limits=[_read_limit(one, now_ms) for one in record.limits],
        evacuations=read_evacuations(record.evacuations),
        lost_pools=tuple(record.lost_pools),
        knows_evacuations=record.knows_evacuations,
        crash_digest=record.crash_digest,
        crashes=read_crashes(record, now_ms),
    )


def _write_age(age_ms):
    return _UNKNOWN_AGE if age_ms is None else age_ms


def _read_age(age_ms):
    return None if age_ms < 0 else age_ms


def _write_server_health(health):
    return peer_pb2.Impression(
        server=health.server,
        failures=health.signs.failures,
        successes=health.signs.successes,
    )


def _read_server_health(record, now_ms):
    signs = OutcomeCounts(record.failures, record.successes, now_ms)
    return ServerHealth(record.server, signs)


def _write_limit(limit_report, now_ms):
    return peer_pb2.LimitRecord(
        server=limit_report.server,
        limit=_NO_LIMIT if limit_report.limit is None else limit_report.limit,
        age_ms=now_ms - limit_report.at_ms,
        source=limit_report.source,
    )


def _read_limit(record, now_ms):
    return AdvertisedLimit(
        record.server,
        None if record.limit < 0 else record.limit,
        now_ms - record.age_ms,
        record.source,
    )


def _write_work_change(change, now_ms, *, is_snapshot):
    """Return the message for a WorkChange.

    The details are included only when work was sent and in a batch of all
    work.  For work that started or ended, the receiver knows them by the key.
    """
    work = change.work
    if change.change != Change.SENT and not is_snapshot:
        return peer_pb2.WorkNews(
            change=int(change.change),
            key=work.key,
            engine=work.engine,
        )
    return peer_pb2.WorkNews(
        change=int(change.change),
        key=work.key,
        engine=work.engine,
        read_ms=work.prefill_ms,
        memory=work.memory,
        is_writer=work.is_decoding,
        gap_ms=work.gap_ms,
        weight=work.weight,
        remaining_ms=work.until_ms - now_ms,
        due_in_ms=work.due_ms - now_ms,
        first_in_ms=work.first_event_at_ms - now_ms,
        goes_first=work.is_prioritized,
        priority=work.priority,
        account=work.account,
    )


def _read_work_change(record, now_ms):
    work = WorkItem(
        record.key,
        record.engine,
        prefill_ms=record.read_ms,
        memory=record.memory,
        is_decoding=record.is_writer,
        gap_ms=record.gap_ms,
        weight=record.weight,
        until_ms=now_ms + record.remaining_ms,
        due_ms=now_ms + record.due_in_ms,
        first_event_at_ms=now_ms + record.first_in_ms,
        is_prioritized=record.goes_first,
        priority=record.priority,
        account=record.account,
    )
    return WorkChange(Change(record.change), work)
