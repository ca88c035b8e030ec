"""Conversion between crash information and its protobuf messages."""

from crankchute.core.crash_report import (
    ClearedRequest,
    Crash,
    CrashReport,
    QuarantinedRequest,
)
from crankchute.proto import peer_pb2

#: Sent in place of an age when the start time is unknown.
_UNKNOWN_AGE = -1


def write_crashes(news, now_ms):
    """Return the message for CrashReport, or None; times become ages.

    Args:
      news: CrashReport or None.
      now_ms: The current time of this process's clock.
    """
    if news is None:
        return None
    return peer_pb2.CrashNews(
        crashes=[_write_crash(one, now_ms) for one in news.crashes],
        held=[
            peer_pb2.HeldRecord(
                fingerprint=one.fingerprint,
                held_age_ms=now_ms - one.held_ms,
                asked_age_ms=now_ms - one.asked_ms,
            )
            for one in news.quarantined
        ],
        cleared=[
            peer_pb2.ClearedRecord(
                fingerprint=one.fingerprint,
                age_ms=now_ms - one.at_ms,
            )
            for one in news.cleared
        ],
    )


def read_crashes(record, now_ms):
    """Return the CrashReport in a message, or None if it has none.

    Args:
      record: A Briefing or Gossip message.
      now_ms: The current time of this process's clock.
    """
    if not record.HasField('crashes'):
        return None
    news = record.crashes
    return CrashReport(
        [_read_crash(one, now_ms) for one in news.crashes],
        [
            QuarantinedRequest(
                one.fingerprint,
                now_ms - one.held_age_ms,
                now_ms - one.asked_age_ms,
            )
            for one in news.held
        ],
        [
            ClearedRequest(one.fingerprint, now_ms - one.age_ms)
            for one in news.cleared
        ],
    )


def _write_crash(crash, now_ms):
    requests = list(crash.requests)
    ages_ms = [
        now_ms - crash.begun_ms[one] if one in crash.begun_ms else _UNKNOWN_AGE
        for one in requests
    ]
    return peer_pb2.CrashRecord(
        server=crash.server,
        age_ms=now_ms - crash.at_ms,
        requests=requests,
        begun_age_ms=ages_ms,
    )


def _read_crash(record, now_ms):
    """Return the Crash of a message; older senders omit the start ages."""
    aged_requests = zip(record.requests, record.begun_age_ms, strict=False)
    return Crash(
        record.server,
        now_ms - record.age_ms,
        record.requests,
        {one: now_ms - age_ms for one, age_ms in aged_requests if age_ms >= 0},
    )
