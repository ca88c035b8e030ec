"""Conversions between the core's objects and the messages between peers."""

from crankchute.core.membership import Member
from crankchute.core.replica import ChangeSet, Entry
from crankchute.proto import peer_pb2

_MEMBER_FIELDS = Member.__slots__


def write_member(member):
    """Return the message of a Member."""
    fields = {name: getattr(member, name) for name in _MEMBER_FIELDS}
    fields['status'] = int(member.status)
    return peer_pb2.MemberRecord(**fields)


def read_member(record):
    """Return the Member of a message."""
    fields = {name: getattr(record, name) for name in _MEMBER_FIELDS}
    return Member(**fields)


def write_changes(changes):
    """Return the message of a ChangeSet, or an empty one for None."""
    if changes is None:
        return peer_pb2.ChangeReply()
    entries = [
        peer_pb2.PublishedEntry(
            key=key,
            revision=entry.revision,
            payload=entry.payload or b'',
            deleted=entry.payload is None,
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
        )
        for entry in reply.entries
    }
    return ChangeSet(reply.since, reply.revision, entries)
