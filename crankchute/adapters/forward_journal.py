"""Structured logging of the decisions about forwarded requests."""

from crankchute.adapters.log import log_change
from crankchute.adapters.path_journal import PathJournal
from crankchute.core.outcomes import Outcome

#: How many servers a line names that may take the place of another one.
_MAX_SERVERS_LOGGED = 4


class ForwardJournal(PathJournal):
    """Logs each decision with its inputs and their age."""

    def __init__(self, holder, clock):
        """Create the logger.

        Args:
          holder: The ForwardConfigHolder whose configuration is in force.
          clock: A Clock.
        """
        self._holder = holder
        self._clock = clock

    def log_request(self, job):
        """Log that a request is accepted.

        Args:
          job: A ForwardJob.
        """
        size = job.size
        log_change(
            'request',
            request=job.request_id,
            fingerprint=write_fingerprint(job.fingerprint),
            parts=[write_fingerprint(one) for one in job.part_fingerprints],
            pool=job.pool,
            account=job.account,
            repeat=job.repeat.value,
            tokens=None if size is None else size.prompt,
            goal_ms=job.goal_ms,
            gap_ms=job.gap_ms if job.is_stream else None,
            deadline_in_ms=_round(job.remaining_ms(self._clock.now_ms())),
            resume_after=job.resume_after,
            relayed_by=None if job.relay is None else job.relay.instance,
            **self._describe_config(),
        )

    def log_refused(self, request_id, refusal, relayed_by=None):
        """Log that a request is refused before a job is created for it.

        Args:
          request_id: The caller's id, or None.
          refusal: A RequestRefused.
          relayed_by: The id of the instance that relayed the request, or None.
        """
        log_change(
            'request_refused',
            failed=True,
            request=request_id,
            relayed_by=relayed_by,
            status=int(refusal.status),
            code=refusal.code,
            retry_after_ms=refusal.retry_after_ms,
            **self._describe_config(),
        )

    def log_not_admitted(self, job, refusal):
        """Log why admission control refuses a prompt.

        Args:
          job: A ForwardJob.
          refusal: A Refusal with the inputs of the decision.
        """
        log_change(
            'not_admitted',
            failed=True,
            request=job.request_id,
            code=refusal.code,
            priority=job.priority,
            urgency_rank=job.urgency_rank,
            returning=job.is_returning,
            retry_after_ms=_round(refusal.retry_after_ms),
            **{
                name: _round(figure) if isinstance(figure, float) else figure
                for name, figure in refusal.inputs.items()
            },
        )

    def log_attempt(self, flow, attempt, cause):
        """Log that a request is sent to a server.

        Args:
          flow: The ForwardFlow.
          attempt: The Attempt.
          cause: Why the request is retried, or None for the first attempt.
        """
        placement = attempt.placement
        estimate = placement.estimate
        log_change(
            'attempt',
            request=flow.job.request_id,
            server=attempt.backend.identity,
            number=flow.attempts,
            cause=cause,
            helpers=[one.backend.identity for one in placement.helpers],
            tickets=[one.ticket for one in placement.tickets],
            predicted_ms=_round(placement.first_ms),
            believed=None if estimate is None else estimate.describe(),
            resume_after=flow.last_event_id,
            age_ms=_round(flow.now_ms() - flow.job.arrived_ms),
        )

    def log_attempt_end(self, flow, attempt, cause):
        """Log how an attempt ended.

        Args:
          flow: The ForwardFlow.
          attempt: The Attempt.
          cause: The status of the response, "cancelled", or the error.
        """
        placement = attempt.placement
        log_change(
            'attempt_end',
            failed=not (cause.startswith('2') or cause == 'cancelled'),
            request=flow.job.request_id,
            server=attempt.backend.identity,
            number=flow.attempts,
            cause=cause,
            after_ms=_round(flow.now_ms() - attempt.sent_ms),
            first_ms=_round(_elapsed_ms(attempt.first_ms, attempt.sent_ms)),
            predicted_ms=_round(placement.first_ms),
            longest_gap_ms=_round(attempt.longest_gap_ms),
            events=flow.forwarded_events,
        )

    def log_silent(self, flow, attempt, alternatives):
        """Log what becomes of an attempt whose server fell silent.

        Args:
          flow: The ForwardFlow.
          attempt: The Attempt.
          alternatives: The Alternatives.
        """
        log_change(
            'attempt_silent',
            failed=True,
            request=flow.job.request_id,
            server=attempt.backend.identity,
            number=flow.attempts,
            verdict=alternatives.verdict.value,
            silent_ms=_round(flow.now_ms() - attempt.last_event_ms),
            heard_ms_ago=_round(
                _elapsed_ms(flow.now_ms(), attempt.backend.breaker.heard_ms)
            ),
            responsive=alternatives.responsive[:_MAX_SERVERS_LOGGED],
            silent=alternatives.silent[:_MAX_SERVERS_LOGGED],
            remaining_ms=_round(flow.job.remaining_ms(flow.now_ms())),
        )

    def log_crash(self, backend, fingerprints):
        """Log that a server crashed.

        Args:
          backend: The Backend.
          fingerprints: The fingerprints of the requests of this instance that
            the server was processing, and of the parts of their prompts.
        """
        log_change(
            'server_crashed',
            failed=True,
            server=backend.identity,
            fingerprints=[write_fingerprint(one) for one in fingerprints],
        )

    def log_notice(self, backend, notice):
        """Log the state that a server reported in a response.

        Args:
          backend: The Backend.
          notice: A ServerNotice.
        """
        log_change(
            'server_said',
            server=backend.identity,
            leaving=notice.is_leaving,
            rest_ms=_round(notice.pause_ms),
            names_limit=notice.names_limit,
            limit=notice.limit,
        )

    def log_moved(self, backend):
        """Log that another server answered at a server's address.

        Args:
          backend: The Backend.
        """
        log_change('server_moved', server=backend.identity)

    def log_reserved(self, request_id, helpers, refused, took_ms):
        """Log that engines were asked to reserve memory.

        Args:
          request_id: The request's id.
          helpers: The PrefillHelpers with tickets.
          refused: The PrefillHelpers that reserved nothing.
          took_ms: Milliseconds until the last result was known.
        """
        log_change(
            'memory_set_aside',
            failed=bool(refused),
            request=request_id,
            tickets=[one.ticket for one in helpers],
            servers=[one.backend.identity for one in helpers],
            refused=[one.ticket for one in refused],
            took_ms=_round(took_ms),
        )

    def log_memory_refused(self, request_id, helper, known_tokens):
        """Log that an engine refused a reservation and is left out for it.

        Args:
          request_id: The request's id.
          helper: The PrefillHelper.
          known_tokens: The memory of the known work there, in tokens.
        """
        log_change(
            'memory_refused',
            failed=True,
            request=request_id,
            ticket=helper.ticket,
            server=helper.backend.identity,
            tokens=helper.tokens,
            known=known_tokens,
        )

    def log_no_memory(self, request_id, refusal):
        """Log that the engines have no memory for a request.

        Args:
          request_id: The request's id.
          refusal: A Refusal with inputs.
        """
        log_change(
            'no_memory',
            failed=True,
            request=request_id,
            code=refusal.code,
            retry_after_ms=_round(refusal.retry_after_ms),
            **refusal.inputs,
        )

    def log_order_unanswered(self, name, request_id, helper):
        """Log that an engine did not answer a request about memory.

        Args:
          name: The name of the request to the engine.
          request_id: The id of the request that the memory is for.
          helper: The PrefillHelper with its ticket.
        """
        log_change(
            'memory_order_unanswered',
            failed=True,
            request=request_id,
            order=name,
            ticket=helper.ticket,
            server=helper.backend.identity,
        )

    def log_released(self, request_id, helper, attempts):
        """Log that reserved memory is free: released or expired.

        Args:
          request_id: The id of the request that the memory was for.
          helper: The PrefillHelper with its ticket.
          attempts: How many release requests were sent to its engine.
        """
        log_change(
            'memory_released',
            request=request_id,
            ticket=helper.ticket,
            server=helper.backend.identity,
            tries=attempts,
        )

    def log_end(self, flow, outcome, code):
        """Log the end of a request.

        Args:
          flow: The ForwardFlow.
          outcome: An Outcome.
          code: A short identifier of the result.
        """
        log_change(
            'request_end',
            failed=outcome != Outcome.OK,
            request=flow.job.request_id,
            outcome=outcome.value,
            code=code,
            attempts=flow.attempts,
            events=flow.forwarded_events,
            after_ms=_round(flow.now_ms() - flow.job.arrived_ms),
        )

    def _describe_config(self):
        age_ms = self._holder.proof_age_ms(self._clock.now_ms())
        return {
            'config_version': self._holder.version,
            'config_proof_age_ms': _round(age_ms),
        }


def write_fingerprint(fingerprint):
    """Return a fingerprint as hexadecimal text for logs and pages.

    Args:
      fingerprint: A 64-bit int.
    """
    return f'{fingerprint:016x}'


def _elapsed_ms(end_ms, start_ms):
    if end_ms is None or start_ms is None:
        return None
    return end_ms - start_ms


def _round(number):
    return None if number is None else round(number, 1)
