"""Sends callers' requests through other instances, over HTTP.

An instance without a path to the servers of a pool sends the request, as its
caller sent it, to an instance that reaches them.  Retries, their budget,
resumption and the deadline stay with the instance that relays.  The connection
carries cancellation and backpressure.
"""

from crankchute.adapters.http_call import CallOptions
from crankchute.adapters.http_client import build_request_parts
from crankchute.core.relay import RelayOutcome
from crankchute.errors import BackendError
from crankchute.platform.answer_attribution import RequestIdAttribution
from crankchute.platform.backend_calls import (
    CONNECT_TIMEOUT_MS,
    AttemptResponseSink,
    choose_max_idle_ms,
)
from crankchute.platform.relay_words import (
    RELAY_AVOIDED,
    RELAY_CODE,
    RELAY_OUTCOME,
    RELAY_RETRY_MS,
    RELAY_SERVER,
    RELAYED_BY,
    drop_relay_headers,
)
from crankchute.platform.wire import (
    AUTHORIZATION,
    DEADLINE_MS,
    LAST_EVENT,
    REQUEST_ID,
)
from crankchute.ports.forwarding import Rejection


class RelayCalls:
    """Sends requests to other instances."""

    def __init__(self, client, instance):
        """Create the adapter.

        Args:
          client: An HttpClient.
          instance: The id of this instance.
        """
        self._client = client
        self._instance = instance

    def send(self, job, placement, attempt, listener):
        """Send a request; see ForwardPort.

        Args:
          job: A ForwardJob.
          placement: A RelayPlacement.
          attempt: An AttemptOrder.
          listener: An AttemptListener.
        Returns:
          An HttpCall.
        """
        payload = job.payload
        address = placement.backend.listed.address
        request = build_request_parts(
            payload.method,
            address,
            payload.target,
            payload.body,
            [
                *_put_id_first(payload.headers),
                *self._build_headers(payload, attempt),
            ],
        )
        sink = RelayResponseSink(job, listener, placement)
        options = CallOptions(
            idle_ms=choose_max_idle_ms(job),
            connect_ms=CONNECT_TIMEOUT_MS,
            attribution=RequestIdAttribution(job.request_id),
        )
        sink.call = self._client.send(address, request, sink, options)
        return sink.call

    def _build_headers(self, payload, attempt):
        headers = [
            (RELAYED_BY, self._instance),
            (DEADLINE_MS, str(max(int(attempt.remaining_ms), 1))),
        ]
        if payload.authorization is not None:
            headers.append((AUTHORIZATION, payload.authorization))
        if attempt.resume_after is not None:
            headers.append((LAST_EVENT, str(attempt.resume_after)))
        if attempt.avoided:
            headers.append((RELAY_AVOIDED, ','.join(attempt.avoided)))
        return headers


class RelayResponseSink(AttemptResponseSink):
    """Decodes the response of another instance."""

    __slots__ = ('_own_response', '_placement')

    def __init__(self, job, listener, placement):
        """Create the sink.

        Args:
          job: The ForwardJob.
          listener: An AttemptListener.
          placement: The RelayPlacement.
        """
        super().__init__(job, listener)
        self._placement = placement
        self._own_response = None

    def on_head(self, status, headers):
        """See ResponseSink."""
        if headers.get(RELAY_OUTCOME) != RelayOutcome.ELSEWHERE.value:
            self._placement.server = headers.get(RELAY_SERVER)
        if RELAY_OUTCOME in headers:
            self._own_response = headers
        else:
            super().on_head(status, headers)

    def on_body(self, chunk):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_body(chunk)

    def on_done(self):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_done()
        else:
            self._report_own_response()

    def on_error(self, exc):
        """See ResponseSink."""
        if self._own_response is None:
            super().on_error(exc)
        else:
            self._report_own_response()

    def list_headers(self):
        """See AttemptResponseSink."""
        return drop_relay_headers(super().list_headers())

    def _report_own_response(self):
        headers = self._own_response
        outcome = headers[RELAY_OUTCOME]
        code = headers.get(RELAY_CODE, outcome)
        if outcome == RelayOutcome.REJECTED.value:
            self._listener.on_not_run(
                Rejection(code, headers.get(RELAY_SERVER))
            )
        elif outcome == RelayOutcome.REFUSED.value:
            self._listener.on_not_run(
                Rejection(
                    code,
                    retry_after_ms=_parse_retry_ms(headers),
                    is_final=True,
                )
            )
        else:
            was_sent = outcome != RelayOutcome.ELSEWHERE.value
            self._listener.on_failed(BackendError(code, sent=was_sent))


def _put_id_first(headers):
    """Let a refusal of an incomplete head name the request."""
    return sorted(headers, key=lambda pair: pair[0].lower() != REQUEST_ID)


def _parse_retry_ms(headers):
    text = headers.get(RELAY_RETRY_MS, '')
    return int(text) if text.isdecimal() else None
