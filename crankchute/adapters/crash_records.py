"""Conversion between crash information and its protobuf messages."""

from crankchute.core.crash_report import (
    ClearedSuspect,
    Crash,
    CrashReport,
    Quarantine,
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
        held=[_write_quarantine(one, now_ms) for one in news.quarantined],
        cleared=[
            peer_pb2.ClearedRecord(
                fingerprint=one.fingerprint,
                age_ms=now_ms - one.at_ms,
            )
            for one in news.cleared
        ],
        answered=[
            peer_pb2.PoolAnswer(pool=pool, age_ms=now_ms - at_ms)
            for pool, at_ms in news.answered_ms.items()
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
            Quarantine(
                (one.fingerprint, *one.others),
                now_ms - one.held_age_ms,
                now_ms - one.asked_age_ms,
                one.trials,
            )
            for one in news.held
        ],
        [
            ClearedSuspect(one.fingerprint, now_ms - one.age_ms)
            for one in news.cleared
        ],
        {one.pool: now_ms - one.age_ms for one in news.answered},
    )


def _write_quarantine(held, now_ms):
    first, *others = sorted(held.suspects)
    return peer_pb2.HeldRecord(
        fingerprint=first,
        others=others,
        held_age_ms=now_ms - held.held_ms,
        asked_age_ms=now_ms - held.asked_ms,
        trials=held.trials,
    )


def _write_crash(crash, now_ms):
    requests = list(crash.requests)
    parts = list(crash.parts)
    return peer_pb2.CrashRecord(
        server=crash.server,
        age_ms=now_ms - crash.at_ms,
        requests=requests,
        begun_age_ms=_write_ages(crash, requests, now_ms),
        parts=parts,
        part_begun_age_ms=_write_ages(crash, parts, now_ms),
        pool=crash.pool,
        size=crash.size,
    )


def _write_ages(crash, fingerprints, now_ms):
    return [
        now_ms - crash.begun_ms[one] if one in crash.begun_ms else _UNKNOWN_AGE
        for one in fingerprints
    ]


def _read_crash(record, now_ms):
    """Return the Crash of a message; older senders omit the start ages."""
    ages_ms = (
        *zip(record.requests, record.begun_age_ms, strict=False),
        *zip(record.parts, record.part_begun_age_ms, strict=False),
    )
    crash = Crash(
        record.server,
        now_ms - record.age_ms,
        record.requests,
        {one: now_ms - age_ms for one, age_ms in ages_ms if age_ms >= 0},
        parts=record.parts,
        pool=record.pool,
    )
    crash.size = record.size
    return crash
