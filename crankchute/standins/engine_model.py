"""A simulated inference engine with continuous batching.

Each step spends a token budget first on decoding and then on prefill, in order
of priority.  Memory is counted in tokens.  The answer is a deterministic
function of the model name and of all bytes of the prompt, so that tests detect
any truncated or misrouted answer.
"""

import itertools
import zlib
from collections import Counter

from crankchute.standins.engine_memory import EngineMemory

_DECODE_MS = 0.02
_MAX_WAITING = 256
_MEMORY_TOKENS = 400_000
_STEP_TOKENS = 2048
_STEP_MS = 5
_TOKEN_MS = 0.005


class EngineSettings:
    """The size and speed of an engine.

    Attributes:
      memory_tokens: The size of the KV memory in tokens.
      step_tokens: The token budget of a step.
      step_ms: The fixed duration of a step, in milliseconds.
      token_ms: Milliseconds that each prompt token adds to a step.
      bytes_per_token: The fixed token length, instead of a tokenizer.
    """

    __slots__ = (
        'bytes_per_token',
        'memory_tokens',
        'step_ms',
        'step_tokens',
        'token_ms',
    )

    def __init__(self, **fields):
        """Create the settings.

        Args:
          fields: Values for the attributes; the others get their defaults.
        """
        self.memory_tokens = fields.get('memory_tokens', _MEMORY_TOKENS)
        self.step_tokens = fields.get('step_tokens', _STEP_TOKENS)
        self.step_ms = fields.get('step_ms', _STEP_MS)
        self.token_ms = fields.get('token_ms', _TOKEN_MS)
        self.bytes_per_token = fields.get('bytes_per_token', 4)

    @property
    def prefill_rate(self):
        """Prompt tokens prefilled per millisecond when steps are full."""
        return self.step_tokens / (
            self.step_ms + self.step_tokens * self.token_ms
        )


class Work:
    """A request on the engine: prefill and, unless it is a segment, decoding.

    Attributes:
      key: Identifies the request on the engine.
      priority: An int; 0 is served first.
      left: Prompt tokens that are not prefilled yet.
      need: KV memory that it occupies, in tokens.
      crc: The checksum of the whole prompt, which determines the answer.
      blocks: The chained hashes of the blocks of the prompt.
      max_tokens: The answer length; 0 for a segment of a group.
      offset: The index of the next token of the answer.
      deadline_ms: When the engine drops the request.
      on_token: A function that is called with each offset and token.
      on_done: A function that is called with the request at its end, or
        with None at its deadline.
      sequence: The order of submission.
    """

    __slots__ = (
        'blocks',
        'crc',
        'deadline_ms',
        'key',
        'left',
        'max_tokens',
        'need',
        'offset',
        'on_done',
        'on_token',
        'sequence',
        'priority',
    )

    def __init__(self, key, **fields):
        """Create the request.

        Args:
          key: Identifies the request on the engine.
          fields: Values for the other attributes except the sequence.
        """
        self.key = key
        self.priority = fields['priority']
        self.left = fields['left']
        self.need = fields['need']
        self.crc = fields['crc']
        self.blocks = fields.get('blocks', ())
        self.max_tokens = fields['max_tokens']
        self.offset = fields.get('offset', 0)
        self.deadline_ms = fields['deadline_ms']
        self.on_token = fields.get('on_token')
        self.on_done = fields['on_done']
        self.sequence = 0


class EngineModel:
    """The scheduler of one engine, driven by a timer service.

    Attributes:
      memory: The EngineMemory.
      settings: The EngineSettings.
      prefilled_tokens: The number of prefilled prompt tokens, an int.
      generated_tokens: The number of generated tokens, an int.
    """

    def __init__(self, timers, settings):
        """Create an idle engine.

        Args:
          timers: A TimerService.
          settings: EngineSettings.
        """
        self._timers = timers
        self._sequence_numbers = itertools.count()
        self._waiting = {}
        self._running = {}
        self._stepping = False
        self.settings = settings
        self.memory = EngineMemory(settings.memory_tokens, timers.clock)
        self.prefilled_tokens = 0
        self.generated_tokens = 0

    @property
    def queued_tokens(self):
        """Prompt tokens that are not prefilled yet, an int."""
        requests = itertools.chain(
            self._waiting.values(), self._running.values()
        )
        return sum(work.left for work in requests)

    @property
    def queued_by_priority(self):
        """Prompt tokens not prefilled yet, a map from priority to tokens."""
        queued = Counter()
        for work in (*self._waiting.values(), *self._running.values()):
            queued[work.priority] += work.left
        return +queued

    @property
    def running(self):
        """The number of requests that are decoding, an int."""
        return len([work for work in self._running.values() if not work.left])

    @property
    def request_count(self):
        """The number of waiting and running requests, an int."""
        return len(self._waiting) + len(self._running)

    def count_tokens(self, prompt):
        """Return the length of a prompt in tokens, an int."""
        return -(-len(prompt) // self.settings.bytes_per_token)

    def accepts(self, need):
        """Return whether a request can be queued now.

        Args:
          need: The KV memory that it needs, in tokens.
        """
        if need > self.settings.memory_tokens:
            return False
        return len(self._waiting) < _MAX_WAITING

    def submit(self, work):
        """Queue a request; it starts once enough memory is free.

        Args:
          work: A Work.
        """
        work.sequence = next(self._sequence_numbers)
        self._waiting[work.key] = work
        self._ensure_stepping()

    def cancel(self, key):
        """Drop a request and free its memory, without calling its on_done.

        Args:
          key: The key of the request.
        """
        self._waiting.pop(key, None)
        if self._running.pop(key, None) is not None:
            self.memory.free(key)

    def _ensure_stepping(self):
        if not self._stepping:
            self._stepping = True
            self._start_step()

    def _start_step(self):
        self._drop_expired()
        self._start_waiting()
        requests = self._sort_by_priority(self._running)
        decoding = [work for work in requests if not work.left]
        budget = max(self.settings.step_tokens - len(decoding), 0)
        chunks = self._split_budget(requests, budget)
        if not decoding and not chunks:
            self._stepping = False
            return
        prompt_tokens = sum(tokens for _, tokens in chunks)
        duration_ms = self.settings.step_ms + len(decoding) * _DECODE_MS
        duration_ms += prompt_tokens * self.settings.token_ms
        self._timers.after(
            duration_ms,
            lambda: self._finish_step(decoding, chunks),
        )

    def _finish_step(self, decoding, chunks):
        for work in decoding:
            self._emit_token(work)
        for work, tokens in chunks:
            work.left -= tokens
            self.prefilled_tokens += tokens
            if not work.left:
                self._finish_prefill(work)
        self._start_step()

    def _split_budget(self, requests, budget):
        chunks = []
        for work in requests:
            tokens = min(work.left, budget)
            if tokens:
                chunks.append((work, tokens))
                budget -= tokens
        return chunks

    def _finish_prefill(self, work):
        if work.key not in self._running:
            return
        self.memory.store_blocks(work.blocks)
        if work.max_tokens:
            self._emit_token(work)
        else:
            self._complete(work)

    def _emit_token(self, work):
        if work.key not in self._running:
            return
        if work.offset < work.max_tokens:
            token = make_token(work.crc, work.offset)
            work.offset += 1
            self.generated_tokens += 1
            work.on_token(work.offset - 1, token)
        if work.offset >= work.max_tokens:
            self._complete(work)

    def _complete(self, work):
        self._running.pop(work.key, None)
        self.memory.free(work.key)
        work.on_done(work)

    def _start_waiting(self):
        for work in self._sort_by_priority(self._waiting):
            if not self.memory.allocate(work.key, work.need):
                break
            self._waiting.pop(work.key)
            cached = self.memory.count_cached_tokens(work.blocks)
            work.left = max(work.left - cached, 1)
            self._running[work.key] = work

    def _drop_expired(self):
        now_ms = self._timers.clock.now_ms()
        for requests in (self._waiting, self._running):
            expired = [
                request
                for request in requests.values()
                if request.deadline_ms < now_ms
            ]
            for work in expired:
                self.cancel(work.key)
                work.on_done(None)

    def _sort_by_priority(self, requests):
        return sorted(requests.values(), key=_scheduling_key)


def initial_checksum(model):
    """Return the initial value for the checksum of a prompt.

    Args:
      model: The name of the model.
    """
    return zlib.crc32(model.encode())


def make_token(crc, offset):
    """Return one token of an answer.

    Args:
      crc: The checksum of the model name and the whole prompt.
      offset: The index of the token.
    """
    return f'{zlib.crc32(offset.to_bytes(4, "big"), crc):08x} '


def expected_answer(model, prompt, max_tokens):
    """Return the complete answer of the simulated engines to a prompt.

    Args:
      model: The name of the model.
      prompt: Bytes.
      max_tokens: The answer length in tokens.
    Returns:
      A string.
    """
    crc = zlib.crc32(prompt, initial_checksum(model))
    return ''.join(make_token(crc, offset) for offset in range(max_tokens))


def _scheduling_key(work):
    return (work.priority, work.sequence)
