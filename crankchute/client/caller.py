"""Asynchronous client for completions and service calls.

The client discovers entry instances, binds non-idempotent calls to one of
them, honours retry hints, and enforces deadlines itself, so that calls also
end when the network is partitioned.
"""

import random

from crankchute.adapters.http_client import HttpClient
from crankchute.client.address_cache import AddressCache
from crankchute.client.completion_call import CompletionCall
from crankchute.client.service_call import ServiceCall

_DEFAULT_IDLE_TIMEOUT_MS = 10_000
_DEFAULT_MAX_TOKENS = 16


class CallOptions:
    """The workload class, deadline and other options of a call."""

    __slots__ = ('deadline_ms', 'idle_ms', 'max_tokens', 'model', 'workload')

    def __init__(self, workload, deadline_ms, **details):
        """Create the options.

        Args:
          workload: The workload class's name.
          deadline_ms: The timeout of the whole call, in milliseconds.
          details: `model` and `max_tokens` of a completion, and `idle_ms`,
            the idle timeout of a stream.
        """
        self.workload = workload
        self.deadline_ms = deadline_ms
        self.model = details.get('model')
        self.max_tokens = details.get('max_tokens', _DEFAULT_MAX_TOKENS)
        self.idle_ms = details.get('idle_ms', _DEFAULT_IDLE_TIMEOUT_MS)


class Caller:
    """Makes calls on behalf of one client account."""

    def __init__(self, loop, seeds, account, channel='caller'):
        """Create a client.

        Args:
          loop: The Loop.
          seeds: Pairs of IP address and port of entry instances.
          account: The client account's name.
          channel: A name of the HTTP client, unique in the process.
        """
        self._account = account
        self.timers = loop.timers
        self.http = HttpClient(channel=channel).register(loop)
        self.addresses = AddressCache(
            self.http,
            loop.timers,
            random.SystemRandom(),
            seeds,
            account,
        )

    def now_ms(self):
        """Return the time on the client's clock."""
        return self.timers.clock.now_ms()

    def headers(self, workload, deadline_ms):
        """Return the headers common to all calls, a list of pairs.

        Args:
          workload: The workload class's name.
          deadline_ms: Milliseconds until the deadline.
        """
        return [
            ('Crankchute-Account', self._account),
            ('Crankchute-Class', workload),
            ('Crankchute-Deadline-Ms', str(deadline_ms)),
        ]

    def complete(self, prompt, options, on_result):
        """Request a completion.

        Args:
          prompt: A string.
          options: CallOptions.
          on_result: A function of a CallResult, called once on the loop.
        """
        CompletionCall(self, prompt, options, on_result).start()

    def call_service(self, request, options, on_result):
        """Call a plain service.

        Args:
          request: A ServiceRequest.
          options: CallOptions.
          on_result: A function of a CallResult, called once on the loop.
        """
        ServiceCall(self, request, options, on_result).start()
