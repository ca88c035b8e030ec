"""The client library: completions and service calls on a loop.

It asks the system which addresses to use and keeps the answer for its time to
live, binds calls that may not be repeated, obeys retry hints, and holds its
own deadlines, so that a cut network ends the wait too.
"""

import random

from crankchute.adapters.http_client import HttpClient
from crankchute.client.address_book import AddressBook
from crankchute.client.completion_call import CompletionCall
from crankchute.client.service_call import BoundCall

_DEFAULT_IDLE_MS = 10_000
_DEFAULT_MAX_TOKENS = 16


class CallOptions:
    """How a call is to be made."""

    __slots__ = ('deadline_ms', 'idle_ms', 'max_tokens', 'model', 'workload')

    def __init__(self, workload, deadline_ms, **details):
        """Create the options.

        Args:
          workload: The workload class's name.
          deadline_ms: Milliseconds in which the call must end.
          details: `model` and `max_tokens` of a completion, and `idle_ms`,
            the longest silence that is borne in a stream.
        """
        self.workload = workload
        self.deadline_ms = deadline_ms
        self.model = details.get('model')
        self.max_tokens = details.get('max_tokens', _DEFAULT_MAX_TOKENS)
        self.idle_ms = details.get('idle_ms', _DEFAULT_IDLE_MS)


class Caller:
    """Makes calls for one client account."""

    def __init__(self, loop, seeds, account, channel='caller'):
        """Create a caller.

        Args:
          loop: The Loop.
          seeds: Pairs of IP number and port of entry instances.
          account: The client account's name.
          channel: A name that is unique in the process.
        """
        self._account = account
        self.timers = loop.timers
        self.http = HttpClient(channel=channel).register(loop)
        self.book = AddressBook(
            self.http,
            loop.timers,
            random.SystemRandom(),
            seeds,
            account,
        )

    def now_ms(self):
        """Return the time on the caller's clock."""
        return self.timers.clock.now_ms()

    def headers(self, workload, deadline_ms):
        """Return the headers that every call carries, a list of pairs.

        Args:
          workload: The workload class's name.
          deadline_ms: Milliseconds left.
        """
        return [
            ('Crankchute-Account', self._account),
            ('Crankchute-Class', workload),
            ('Crankchute-Deadline-Ms', str(deadline_ms)),
        ]

    def complete(self, prompt, options, on_end):
        """Ask for a completion.

        Args:
          prompt: A string.
          options: CallOptions.
          on_end: A function of a CallResult, called once on the loop.
        """
        CompletionCall(self, prompt, options, on_end).start()

    def call_service(self, request, options, on_end):
        """Call a plain service.

        Args:
          request: A ServiceRequest.
          options: CallOptions.
          on_end: A function of a CallResult, called once on the loop.
        """
        BoundCall(self, request, options, on_end).start()
