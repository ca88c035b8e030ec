"""Performance model of an engine, based on its published figures.

An engine runs scheduler passes.  A pass with decoding requests has several
steps; each step decodes one token of every such request and prefills at most
one chunk of the waiting prompts.  Prefill time has a term per token and one
per pair of tokens (attention), so it grows faster than the prompt's length.
"""

_THOUSAND = 1000
_PAIRS_UNIT = 1_000_000


class EngineFigures:
    """The published figures of a pool's engines.

    Attributes:
      slots: The maximum number of concurrent requests.
      memory_tokens: The KV memory of one engine, in tokens.
      stride: The number of steps in a pass with decoding requests.
      step_ms: The base duration of a step.
      writer_ms: The time that each decoding request adds to a step.
      context_ms: The time that a thousand tokens of context add to a step.
      read_per_ms: Prompt tokens prefilled in a millisecond.
      pairs_ms: The time that a million pairs of tokens add to a prefill.
      chunk: The maximum number of prompt tokens prefilled in a step.
      hop_ms: The time that helpers add to a step of a decoding request.
      report_lag_ms: The age of the figures in a load report.
      stall_ms: How long requests that depend on a lost engine stall.
      usual_prompt: The mean length of prompts, in tokens.
      usual_answer: The mean length of answers, in tokens.
    """

    __slots__ = (
        'chunk',
        'context_ms',
        'hop_ms',
        'memory_tokens',
        'pairs_ms',
        'read_per_ms',
        'report_lag_ms',
        'slots',
        'stall_ms',
        'step_ms',
        'stride',
        'usual_answer',
        'usual_prompt',
        'writer_ms',
    )

    def __init__(self, **fields):
        """Create the figures.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


def estimate_prefill_ms(figures, tokens, parts=1):
    """Return the prefill time of a prompt, or of an even part of one.

    Args:
      figures: EngineFigures.
      tokens: The length of the whole prompt.
      parts: The number of engines that share the prefill.
    Returns:
      Milliseconds on each engine, a float.
    """
    pairs = tokens * tokens / 2 / _PAIRS_UNIT
    total_ms = tokens / figures.read_per_ms + pairs * figures.pairs_ms
    steps = -(-tokens // max(figures.chunk * parts, 1))
    return total_ms / parts + steps * figures.step_ms


def estimate_step_ms(figures, writers, context_tokens):
    """Return the duration of a step without prefill, in milliseconds.

    Args:
      figures: EngineFigures.
      writers: The number of decoding requests.
      context_tokens: The total length of their contexts.
    """
    context_ms = context_tokens / _THOUSAND * figures.context_ms
    return figures.step_ms + writers * figures.writer_ms + context_ms


def estimate_pass_ms(figures, writers, context_tokens):
    """Return the duration of a pass without prefill, in milliseconds.

    Args:
      figures: EngineFigures.
      writers: The number of decoding requests; without any, a pass is one
        step.
      context_tokens: The total length of their contexts.
    """
    step_ms = estimate_step_ms(figures, writers, context_tokens)
    return step_ms * figures.stride if writers else step_ms


def estimate_decode_ms(figures):
    """Return the decode time of a usual answer at a half-full engine.

    Args:
      figures: EngineFigures.
    """
    writers = figures.slots / 2
    context_tokens = writers * (figures.usual_prompt + figures.usual_answer / 2)
    step_ms = estimate_step_ms(figures, writers, context_tokens)
    return figures.usual_answer * step_ms


def estimate_slot_ms(figures):
    """Return the decode time of a usual answer, divided by the slots.

    Args:
      figures: EngineFigures.
    """
    return estimate_decode_ms(figures) / figures.slots


def count_parts(figures, tokens, max_part_ms, max_parts):
    """Return how many engines should share a prompt's prefill.

    Args:
      figures: EngineFigures.
      tokens: The prompt's length.
      max_part_ms: The target for the prefill time of each engine.
      max_parts: The maximum number of engines.
    Returns:
      An int, at least 1.
    """
    total_ms = estimate_prefill_ms(figures, tokens)
    return max(1, min(max_parts, round(total_ms / max_part_ms)))
