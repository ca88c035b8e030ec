"""Log lines about the shutdown of an instance that forwards requests."""

from crankchute.adapters.log import log_change


def log_stopping(schedule, grace_ms, flows):
    """Log that a shutdown begins.

    Args:
      schedule: Its ShutdownSchedule.
      grace_ms: The milliseconds after which the process is killed.
      flows: The ForwardFlows in progress.
    """
    waiting = sum(not flow.attempts for flow in flows)
    log_change(
        'stopping',
        grace_ms=grace_ms,
        unnoticed_ms=round(schedule.unnoticed_ms, 1),
        in_progress=len(flows),
        not_sent=waiting,
    )


def log_ended_by_stop(flow, attempt, started_ms):
    """Log that the end of the process ends a request.

    Args:
      flow: A ForwardFlow.
      attempt: The Attempt that was in progress, or None.
      started_ms: When the shutdown began, on this process's clock.
    """
    job = flow.job
    now_ms = flow.now_ms()
    log_change(
        'ended_by_stop',
        failed=True,
        request=job.request_id,
        relayed_by=None if job.relay is None else job.relay.instance,
        is_stream=job.is_stream,
        repeat=job.repeat.value,
        arrived_after_ms=round(job.arrived_ms - started_ms, 1),
        age_ms=round(now_ms - job.arrived_ms, 1),
        deadline_in_ms=round(job.remaining_ms(now_ms), 1),
        server=None if attempt is None else attempt.backend.identity,
        attempts=flow.attempts,
        events=flow.forwarded_events,
    )


def log_stopped(after_ms, in_progress, *, has_unsent):
    """Log that the process ends.

    Args:
      after_ms: The duration of the shutdown.
      in_progress: The number of requests that it breaks off.
      has_unsent: Whether callers have not received all bytes of answers.
    """
    log_change(
        'stopped',
        failed=bool(in_progress or has_unsent),
        after_ms=round(after_ms, 1),
        in_progress=in_progress,
        unsent=has_unsent,
    )
