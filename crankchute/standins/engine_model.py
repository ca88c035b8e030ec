"""A model engine in small: batches, memory, priorities and a prefix cache.

It computes no model.  Each step spends a budget of tokens on the streams that
generate and then on prompts, by priority; memory is counted in tokens.  The
answer to a prompt is a function of the model and of every byte of the prompt,
so that a test can tell a whole answer from any other.
"""

import itertools
import zlib
from collections import Counter

from crankchute.standins.engine_memory import EngineMemory

_DECODE_MS = 0.02
_MOST_WAITING = 256
_MEMORY_TOKENS = 400_000
_STEP_TOKENS = 2048
_STEP_MS = 5
_TOKEN_MS = 0.005


class EngineSettings:
    """The size and speed of an engine.

    Attributes:
      memory_tokens: KV memory in tokens.
      step_tokens: The budget of a step, in tokens.
      step_ms: The shortest duration of a step, in milliseconds.
      token_ms: Milliseconds that a prompt token adds to a step.
      bytes_per_token: The tokenizer, such as it is.
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
          fields: Attributes that differ from their defaults.
        """
        self.memory_tokens = fields.get('memory_tokens', _MEMORY_TOKENS)
        self.step_tokens = fields.get('step_tokens', _STEP_TOKENS)
        self.step_ms = fields.get('step_ms', _STEP_MS)
        self.token_ms = fields.get('token_ms', _TOKEN_MS)
        self.bytes_per_token = fields.get('bytes_per_token', 4)

    @property
    def prefill_rate(self):
        """Prompt tokens worked off in a millisecond at full budget."""
        return self.step_tokens / (
            self.step_ms + self.step_tokens * self.token_ms
        )


class Work:
    """A prompt that is prefilled, and perhaps answered.

    Attributes:
      key: Identifies the work on the engine.
      priority: 0 (first) and up.
      left: Prompt tokens that are not prefilled yet.
      crc: The checksum of all the prompt, which seeds the answer.
      max_tokens: The length of the answer; 0 for a segment of a group.
      offset: The next token's index.
      on_token: A function of the offset and the token.
      on_done: A function of the work; called at its end.
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
        'order',
        'priority',
    )

    def __init__(self, key, **fields):
        """Create the work.

        Args:
          key: Identifies the work on the engine.
          fields: A value for each other attribute but the order.
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
        self.order = 0


class EngineModel:
    """The batching loop of one engine, on a timer service.

    Attributes:
      memory: The EngineMemory.
      settings: The EngineSettings.
      prefilled_tokens: How many prompt tokens were worked off, an int.
      generated_tokens: How many tokens were generated, an int.
    """

    def __init__(self, timers, settings):
        """Create an idle engine.

        Args:
          timers: A TimerService.
          settings: EngineSettings.
        """
        self._timers = timers
        self._orders = itertools.count()
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
        works = itertools.chain(self._waiting.values(), self._running.values())
        return sum(work.left for work in works)

    @property
    def queued_by_priority(self):
        """Prompt tokens that wait, as a map from priority to tokens."""
        queued = Counter()
        for work in (*self._waiting.values(), *self._running.values()):
            queued[work.priority] += work.left
        return +queued

    @property
    def running(self):
        """How many answers are being generated."""
        return len([work for work in self._running.values() if not work.left])

    @property
    def work_count(self):
        """How many works wait or run."""
        return len(self._waiting) + len(self._running)

    def count_tokens(self, prompt):
        """Return the length of a prompt in tokens, an int."""
        return -(-len(prompt) // self.settings.bytes_per_token)

    def accepts(self, need):
        """Tell whether work of a size can be taken at all now.

        Args:
          need: The memory it needs, in tokens.
        """
        if need > self.settings.memory_tokens:
            return False
        return len(self._waiting) < _MOST_WAITING

    def submit(self, work):
        """Queue work; it starts when memory is free.

        Args:
          work: A Work.
        """
        work.order = next(self._orders)
        self._waiting[work.key] = work
        self._wake()

    def cancel(self, key):
        """Drop work and free its memory; its on_done is not called.

        Args:
          key: The work's key.
        """
        self._waiting.pop(key, None)
        if self._running.pop(key, None) is not None:
            self.memory.free(key)

    def _wake(self):
        if not self._stepping:
            self._stepping = True
            self._begin_step()

    def _begin_step(self):
        self._drop_expired()
        self._admit()
        works = self._in_order(self._running)
        decoding = [work for work in works if not work.left]
        budget = max(self.settings.step_tokens - len(decoding), 0)
        chunks = self._share_budget(works, budget)
        if not decoding and not chunks:
            self._stepping = False
            return
        prompt_tokens = sum(tokens for _, tokens in chunks)
        duration_ms = self.settings.step_ms + len(decoding) * _DECODE_MS
        duration_ms += prompt_tokens * self.settings.token_ms
        self._timers.after(
            duration_ms,
            lambda: self._end_step(decoding, chunks),
        )

    def _end_step(self, decoding, chunks):
        for work in decoding:
            self._emit(work)
        for work, tokens in chunks:
            work.left -= tokens
            self.prefilled_tokens += tokens
            if not work.left:
                self._end_prefill(work)
        self._begin_step()

    def _share_budget(self, works, budget):
        chunks = []
        for work in works:
            tokens = min(work.left, budget)
            if tokens:
                chunks.append((work, tokens))
                budget -= tokens
        return chunks

    def _end_prefill(self, work):
        if work.key not in self._running:
            return
        self.memory.store_blocks(work.blocks)
        if work.max_tokens:
            self._emit(work)
        else:
            self._finish(work)

    def _emit(self, work):
        if work.key not in self._running:
            return
        if work.offset < work.max_tokens:
            token = make_token(work.crc, work.offset)
            work.offset += 1
            self.generated_tokens += 1
            work.on_token(work.offset - 1, token)
        if work.offset >= work.max_tokens:
            self._finish(work)

    def _finish(self, work):
        self._running.pop(work.key, None)
        self.memory.free(work.key)
        work.on_done(work)

    def _admit(self):
        for work in self._in_order(self._waiting):
            if not self.memory.take(work.key, work.need):
                break
            self._waiting.pop(work.key)
            cached = self.memory.count_cached(work.blocks)
            work.left = max(work.left - cached, 1)
            self._running[work.key] = work

    def _drop_expired(self):
        now_ms = self._timers.clock.now_ms()
        for works in (self._waiting, self._running):
            late = [one for one in works.values() if one.deadline_ms < now_ms]
            for work in late:
                self.cancel(work.key)
                work.on_done(None)

    def _in_order(self, works):
        return sorted(works.values(), key=_order_of)


def seed_answer(model):
    """Return the checksum that a prompt's checksum starts from.

    Args:
      model: The model's name.
    """
    return zlib.crc32(model.encode())


def make_token(crc, offset):
    """Return one token of an answer.

    Args:
      crc: The checksum of the model and the whole prompt.
      offset: The token's index.
    """
    return f'{zlib.crc32(offset.to_bytes(4, "big"), crc):08x} '


def expected_answer(model, prompt, max_tokens):
    """Return the whole answer that engines give to a prompt.

    Args:
      model: The model's name.
      prompt: Bytes.
      max_tokens: The answer's length in tokens.
    Returns:
      A string.
    """
    crc = zlib.crc32(prompt, seed_answer(model))
    return ''.join(make_token(crc, offset) for offset in range(max_tokens))


def _order_of(work):
    return (work.priority, work.order)
