"""Simulated engines with continuous batching, in virtual time.

Each pass decodes a few steps for every running request and prefills the newly
admitted prompts, so a prefill delays the next event of all requests that are
decoding.  Helper parts of a split prompt occupy no slot.  Unlike real engines,
a pass prefills whole prompts, and memory is unlimited.
"""

from collections import deque
from functools import partial

from crankchute.core.engine_model import estimate_pass_ms, estimate_prefill_ms
from crankchute.core.reservations import ReservationPort
from crankchute.ports.forwarding import AnswerHead, ForwardPort, StreamEvent

_NETWORK_MS = 1


class EngineRequest:
    """One request at an engine.

    Attributes:
      prompt_tokens: The length of the prompt.
      answer_tokens: The length of the answer.
      listener: The AttemptListener.
      prefill_ms: The prefill time of each part.
      parts_left: How many parts are not prefilled yet.
      generated: How many tokens have been generated.
      engine: The PassEngine that decodes it.
      ended: Whether it has completed or was cancelled.
      sent: Whether it may have reached the engine; always True.
    """

    __slots__ = (
        'answer_tokens',
        'ended',
        'engine',
        'generated',
        'listener',
        'parts_left',
        'prefill_ms',
        'prompt_tokens',
        'sent',
    )

    def __init__(self, size, listener, engine, prefill_ms, parts):
        """Create a request whose prompt is not prefilled yet.

        Args:
          size: A PromptSize.
          listener: See the class.
          engine: See the class.
          prefill_ms: See the class.
          parts: How many engines share the prefill.
        """
        self.engine = engine
        self.prompt_tokens = size.prompt
        self.answer_tokens = size.answer
        self.listener = listener
        self.prefill_ms = prefill_ms
        self.parts_left = parts
        self.generated = 0
        self.ended = False
        self.sent = True

    def cancel(self):
        """Cancel the request; the engine removes it before the next pass."""
        self.ended = True

    def finish_part(self):
        """Record that an engine has prefilled its part."""
        self.parts_left -= 1
        if not self.parts_left:
            self.engine.start_decoding(self)

    def emit_event(self, tokens):
        """Send the next event to the listener.

        Args:
          tokens: The number of tokens in it.
        """
        if not self.generated:
            self.listener.on_head(AnswerHead(200))
        self.generated += tokens
        self.listener.on_event(StreamEvent(self.generated, b''))
        if self.generated >= self.answer_tokens and not self.ended:
            self.ended = True
            self.listener.on_end()


class PassEngine:
    """A simulated engine."""

    def __init__(self, timers, figures):
        """Create an idle engine.

        Args:
          timers: A TimerService.
          figures: EngineFigures.
        """
        self._timers = timers
        self._figures = figures
        self._waiting = deque()
        self._prefilling = []
        self._pending_prefills = []
        self._decoding = []
        self._in_pass = False

    def submit(self, request):
        """Queue a request until a slot is free."""
        self._waiting.append(request)
        self._start_pass()

    def add_part(self, request):
        """Prefill a part of a request that another engine decodes."""
        self._pending_prefills.append(request)
        self._start_pass()

    def start_decoding(self, request):
        """Start to decode a request whose parts are all prefilled."""
        self._prefilling.remove(request)
        if not request.ended:
            self._decoding.append(request)
            request.emit_event(1)
            self._start_pass()

    def _start_pass(self):
        if self._in_pass:
            return
        self._admit_waiting()
        if not (self._pending_prefills or self._decoding):
            return
        self._in_pass = True
        context_tokens = sum(
            request.prompt_tokens + request.generated
            for request in self._decoding
        )
        pass_ms = estimate_pass_ms(
            self._figures, len(self._decoding), context_tokens
        )
        prefills = self._pending_prefills
        self._pending_prefills = []
        pass_ms += sum(
            request.prefill_ms for request in prefills if not request.ended
        )
        self._timers.after(pass_ms, partial(self._end_pass, prefills))

    def _end_pass(self, prefills):
        for decoding in self._decoding:
            if not decoding.ended:
                decoding.emit_event(self._figures.stride)
        for prefilled in prefills:
            prefilled.finish_part()
        self._in_pass = False
        self._start_pass()

    def _admit_waiting(self):
        self._decoding = [one for one in self._decoding if not one.ended]
        self._waiting = deque(one for one in self._waiting if not one.ended)
        while self._waiting and self._count_running() < self._figures.slots:
            request = self._waiting.popleft()
            self._prefilling.append(request)
            self._pending_prefills.append(request)

    def _count_running(self):
        return len(self._prefilling) + len(self._decoding)


class PassEngines(ForwardPort):
    """Sends jobs to the PassEngine of the chosen backend."""

    def __init__(self, timers, figures, backends):
        """Create idle engines.

        Args:
          timers: A TimerService.
          figures: The EngineFigures that all engines share.
          backends: The Backends, one for each engine.
        """
        self._timers = timers
        self._figures = figures
        self._engines = {
            one.identity: PassEngine(timers, figures) for one in backends
        }

    def send(self, job, placement, attempt, listener):
        """See ForwardPort."""
        parts = len(placement.helpers) + 1
        engine = self._engines[placement.backend.identity]
        prefill_ms = estimate_prefill_ms(self._figures, job.size.prompt, parts)
        request = EngineRequest(job.size, listener, engine, prefill_ms, parts)
        self._timers.after(_NETWORK_MS, partial(engine.submit, request))
        for helper in placement.helpers:
            helper_engine = self._engines[helper.backend.identity]
            self._timers.after(
                _NETWORK_MS, partial(helper_engine.add_part, request)
            )
        return request


class UnlimitedMemory(ReservationPort):
    """Grants every memory reservation."""

    def __init__(self, timers):
        """Create the port.

        Args:
          timers: A TimerService.
        """
        self._timers = timers

    def reserve(self, helper, hold_ms, on_done):
        """See ReservationPort."""
        self._timers.after(_NETWORK_MS, partial(on_done, True))

    def release(self, helper, timeout_ms, on_done):
        """See ReservationPort."""
        self._timers.after(_NETWORK_MS, partial(on_done, True))
