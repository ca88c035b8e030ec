"""The log lines of forwarding: a line for each decision about a request."""

from crankchute.adapters.log import log_change


class ForwardJournal:
    """Logs attempts and ends with what decided them."""

    def log_attempt(self, flow, attempt, cause):
        """Log that a request is sent to a server.

        Args:
          flow: The ForwardFlow.
          attempt: The Attempt.
          cause: Why it is sent again, or None for the first time.
        """
        placement = attempt.placement
        log_change(
            'attempt',
            request=flow.job.request_id,
            server=attempt.backend.identity,
            number=flow.attempts,
            tokens=None if flow.job.size is None else flow.job.size.prompt,
            cause=cause,
            predicted_ms=_round(placement.first_ms),
            helpers=[one.backend.identity for one in placement.helpers],
            age_ms=_round(flow.now_ms() - flow.job.arrived_ms),
        )

    def log_attempt_end(self, flow, attempt, cause):
        """Log how an attempt ended."""
        log_change(
            'attempt_end',
            request=flow.job.request_id,
            server=attempt.backend.identity,
            cause=cause,
            after_ms=_round(flow.now_ms() - attempt.sent_ms),
            first_ms=_round(_since(attempt.first_ms, attempt.sent_ms)),
            predicted_ms=_round(attempt.placement.first_ms),
            longest_gap_ms=_round(attempt.longest_gap_ms),
            events=flow.passed,
        )

    def log_end(self, flow, outcome, code):
        """Log the end of a request."""
        log_change(
            'request_end',
            request=flow.job.request_id,
            outcome=outcome.value,
            code=code,
            attempts=flow.attempts,
            after_ms=_round(flow.now_ms() - flow.job.arrived_ms),
        )


def _since(moment_ms, start_ms):
    return None if moment_ms is None else moment_ms - start_ms


def _round(number):
    return None if number is None else round(number, 1)
