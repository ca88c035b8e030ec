"""Engines in virtual time that work in passes, as the published figures say.

A pass plays some steps for every writer and reads the prompts that were let
in, so a read delays the next event of all who write there.  Parts of a prompt
that several engines read take no slot.  Simpler than real engines: a pass
reads whole prompts, and memory never runs out.
"""

from collections import deque
from functools import partial

from crankchute.core.engine_model import estimate_pass_ms, estimate_prefill_ms
from crankchute.core.reservations import ReservationPort
from crankchute.ports.forwarding import AnswerHead, ForwardPort, StreamEvent

_NETWORK_MS = 1


class Run:
    """One request at its engine.

    Attributes:
      prompt: Tokens in.
      answer: Tokens out.
      listener: The AttemptListener.
      read_ms: How long its engine reads its part.
      parts_left: How many engines still read a part of it.
      written: Tokens written so far.
      engine: The PassEngine that writes it.
      is_over: Whether it ended or was given up.
      sent: Whether it may have reached the engine; always.
    """

    __slots__ = (
        'answer',
        'engine',
        'is_over',
        'listener',
        'parts_left',
        'prompt',
        'read_ms',
        'sent',
        'written',
    )

    def __init__(self, size, listener, engine, read_ms, parts):
        """Create a run that nobody has read yet.

        Args:
          size: A PromptSize.
          listener: See the class.
          engine: See the class.
          read_ms: See the class.
          parts: Among how many engines it is read.
        """
        self.engine = engine
        self.prompt = size.prompt
        self.answer = size.answer
        self.listener = listener
        self.read_ms = read_ms
        self.parts_left = parts
        self.written = 0
        self.is_over = False
        self.sent = True

    def cancel(self):
        """Give the run up; its engine drops it with its next pass."""
        self.is_over = True

    def end_part(self):
        """Note that an engine has read its part."""
        self.parts_left -= 1
        if not self.parts_left:
            self.engine.begin_to_write(self)

    def write(self, tokens):
        """Write the next event.

        Args:
          tokens: How many tokens it holds.
        """
        if not self.written:
            self.listener.on_head(AnswerHead(200))
        self.written += tokens
        self.listener.on_event(StreamEvent(self.written, b''))
        if self.written >= self.answer and not self.is_over:
            self.is_over = True
            self.listener.on_end()


class PassEngine:
    """One engine."""

    def __init__(self, timers, figures):
        """Create an idle engine.

        Args:
          timers: A TimerService.
          figures: EngineFigures.
        """
        self._timers = timers
        self._figures = figures
        self._waiting = deque()
        self._let_in = []
        self._unread = []
        self._writers = []
        self._is_busy = False

    def submit(self, run):
        """Take a Run; it is read when there is a slot."""
        self._waiting.append(run)
        self._begin_pass()

    def add_part(self, run):
        """Take a part of a Run that another engine writes."""
        self._unread.append(run)
        self._begin_pass()

    def begin_to_write(self, run):
        """Write the first event of a Run of which all parts are read."""
        self._let_in.remove(run)
        if not run.is_over:
            self._writers.append(run)
            run.write(1)
            self._begin_pass()

    def _begin_pass(self):
        if self._is_busy:
            return
        self._let_in_waiting()
        if not (self._unread or self._writers):
            return
        self._is_busy = True
        context = sum(run.prompt + run.written for run in self._writers)
        pass_ms = estimate_pass_ms(self._figures, len(self._writers), context)
        reads = self._unread
        self._unread = []
        pass_ms += sum(run.read_ms for run in reads if not run.is_over)
        self._timers.after(pass_ms, partial(self._end_pass, reads))

    def _end_pass(self, reads):
        for writer in self._writers:
            if not writer.is_over:
                writer.write(self._figures.stride)
        for run in reads:
            run.end_part()
        self._is_busy = False
        self._begin_pass()

    def _let_in_waiting(self):
        self._writers = [one for one in self._writers if not one.is_over]
        self._waiting = deque(one for one in self._waiting if not one.is_over)
        while self._waiting and self._count_running() < self._figures.slots:
            run = self._waiting.popleft()
            self._let_in.append(run)
            self._unread.append(run)

    def _count_running(self):
        return len(self._let_in) + len(self._writers)


class PassEngines(ForwardPort):
    """Sends jobs to PassEngines by the ids of their servers."""

    def __init__(self, timers, figures, backends):
        """Create idle engines.

        Args:
          timers: A TimerService.
          figures: EngineFigures of all of them.
          backends: The Backends.
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
        read_ms = estimate_prefill_ms(self._figures, job.size.prompt, parts)
        run = Run(job.size, listener, engine, read_ms, parts)
        self._timers.after(_NETWORK_MS, partial(engine.submit, run))
        for helper in placement.helpers:
            other = self._engines[helper.backend.identity]
            self._timers.after(_NETWORK_MS, partial(other.add_part, run))
        return run


class FreeMemory(ReservationPort):
    """Engines that set all memory aside that is asked for."""

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
