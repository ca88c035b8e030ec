"""Fakes of engines whose memory prompts compete for."""

from crankchute.ports.forwarding import AnswerHead, StreamEvent

#: The memory of an engine, in tokens.
MEMORY_TOKENS = 197_200
#: The delay of a message between any two processes, in milliseconds.
NETWORK_MS = 1
_DECODE_MS_PER_TOKEN = 1.3
_HTTP_OK = 200


class ModelEngine:
    """The memory of one engine.

    Attributes:
      orders: The sizes of all reserve orders, a list.
      max_used: The largest use of memory so far, in tokens.
      longest_wait_ms: The longest time that a prompt waited for memory.
    """

    def __init__(self, timers):
        """Create an idle engine."""
        self._timers = timers
        self._held = {}
        self._running = {}
        self._waiting = []
        self.orders = []
        self.max_used = 0
        self.longest_wait_ms = 0

    def reserve(self, ticket, tokens, hold_ms):
        """Reserve memory or renew a reservation; return whether it is held."""
        self.orders.append(tokens)
        fits = ticket in self._held or self._has_free(tokens)
        if fits:
            self._held[ticket] = (tokens, self._now_ms() + hold_ms)
            self._record_use()
        return fits

    def release(self, ticket):
        """Free a reservation."""
        self._held.pop(ticket, None)
        self._start_waiting()

    def run(self, call, tokens):
        """Start a call, as soon as its own part has memory."""
        self._waiting.append((call, tokens, self._now_ms()))
        self._start_waiting()

    def end(self, call):
        """Free the memory of a call that ended or was cancelled."""
        self._running.pop(call, None)
        self._waiting = [one for one in self._waiting if one[0] is not call]
        self._start_waiting()

    def used_tokens(self):
        """Return the memory in use, in tokens."""
        self._drop_expired()
        reserved = sum(tokens for tokens, _until_ms in self._held.values())
        return reserved + sum(self._running.values())

    def _start_waiting(self):
        while self._waiting and self._has_free(self._waiting[0][1]):
            call, tokens, since_ms = self._waiting.pop(0)
            self._running[call] = tokens
            waited_ms = self._now_ms() - since_ms
            self.longest_wait_ms = max(self.longest_wait_ms, waited_ms)
            self._record_use()
            call.start()

    def _has_free(self, tokens):
        return self.used_tokens() + tokens <= MEMORY_TOKENS

    def _record_use(self):
        self.max_used = max(self.max_used, self.used_tokens())

    def _drop_expired(self):
        self._held = {
            ticket: held
            for ticket, held in self._held.items()
            if held[1] > self._now_ms()
        }

    def _now_ms(self):
        return self._timers.clock.now_ms()


class ModelCall:
    """A request at its decoding engine."""

    def __init__(self, instance, job, placement, listener):
        """Create the call; see ForwardPort.send."""
        self._instance = instance
        self._job = job
        self._placement = placement
        self._listener = listener
        self._is_done = False
        self.sent = True
        self.engine = instance.world.engines[placement.backend.identity]

    def start(self):
        """Run the call: its first event, and later its end."""
        first_ms = self._placement.first_ms
        decode_ms = self._job.size.answer * _DECODE_MS_PER_TOKEN
        self._instance.world.timers.after(first_ms, self._emit_first)
        self._instance.world.timers.after(first_ms + decode_ms, self._finish)

    def cancel(self):
        """See HttpCall; the engine learns of it after the network delay."""
        self._is_done = True
        self._instance.world.timers.after(
            NETWORK_MS, lambda: self.engine.end(self)
        )

    def _emit_first(self):
        if not self._is_done and not self._instance.is_dead:
            self._listener.on_head(AnswerHead(_HTTP_OK))
            self._listener.on_event(StreamEvent(1, b''))

    def _finish(self):
        if self._is_done:
            return
        self._is_done = True
        self.engine.end(self)
        if not self._instance.is_dead:
            self._listener.on_end()
