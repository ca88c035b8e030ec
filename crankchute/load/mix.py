"""Mixes of requests: who asks, in which class, and how long the prompts are."""

import math
import random
from types import MappingProxyType

import jsonschema
import orjson

from crankchute.errors import Finding, SettingsError

_WORDS = (
    'route seat fare terminal coach manifest dispatcher complaint delay gate '
    'pallet chamber reading degree ledger truck auditor season invoice hold'
).split()
_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 32
_DEFAULT_DEADLINE_MS = 30_000
_BLOCK_WORDS = 4096
SCHEMA = MappingProxyType(
    {
        'type': 'array',
        'minItems': 1,
        'items': {
            'type': 'object',
            'required': ['account', 'class', 'tokens'],
            'additionalProperties': False,
            'properties': {
                'account': {'type': 'string'},
                'class': {'type': 'string'},
                'weight': {'type': 'number', 'exclusiveMinimum': 0},
                'tokens': {
                    'type': 'array',
                    'minItems': 2,
                    'maxItems': 2,
                    'items': {'type': 'integer', 'minimum': 1},
                },
                'max_tokens': {'type': 'integer', 'minimum': 1},
                'deadline_ms': {'type': 'integer', 'minimum': 1},
            },
        },
    }
)


class Part:
    """One part of a mix.

    Attributes:
      account: The client account's name.
      workload: The workload class's name.
      weight: Its share of all requests, relative to the other parts.
      shortest, longest: The prompt lengths, in tokens.
      max_tokens: The length of the answers.
      deadline_ms: Milliseconds for each request.
    """

    __slots__ = (
        'account',
        'deadline_ms',
        'longest',
        'max_tokens',
        'shortest',
        'weight',
        'workload',
    )

    def __init__(self, document):
        """Create a part.

        Args:
          document: A map that agrees with the schema.
        """
        self.account = document['account']
        self.workload = document['class']
        self.weight = document.get('weight', 1)
        self.shortest = document['tokens'][0]
        self.longest = document['tokens'][1]
        self.max_tokens = document.get('max_tokens', _DEFAULT_MAX_TOKENS)
        self.deadline_ms = document.get('deadline_ms', _DEFAULT_DEADLINE_MS)

    def draw_tokens(self, source):
        """Return a prompt length, even on a logarithmic scale.

        Args:
          source: A random.Random.
        """
        low, high = math.log(self.shortest), math.log(self.longest)
        return round(math.exp(source.uniform(low, high)))


class Arrival:
    """One request of a run: when, of which part, and how long."""

    __slots__ = ('at_ms', 'part', 'tokens')

    def __init__(self, at_ms, part, tokens):
        """Create the arrival.

        Args:
          at_ms: Milliseconds from the start of the run.
          part: A Part.
          tokens: The prompt's length.
        """
        self.at_ms = at_ms
        self.part = part
        self.tokens = tokens


def read_mix(text, place):
    """Read a mix.

    Args:
      text: Bytes of a JSON document.
      place: Where it came from, for findings.
    Returns:
      A list of Part.
    Raises:
      SettingsError: With every finding.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as exc:
        raise SettingsError([Finding(place, f'is not JSON: {exc}')]) from exc
    errors = jsonschema.Draft202012Validator(dict(SCHEMA)).iter_errors(document)
    findings = [
        Finding(f'{place}{error.json_path[1:]}', error.message)
        for error in errors
    ]
    if findings:
        raise SettingsError(findings)
    return [Part(part) for part in document]


def plan_arrivals(parts, rate, duration_s, seed):
    """Draw the requests of a run: open loop, exponential gaps.

    Args:
      parts: A list of Part.
      rate: Requests a second.
      duration_s: Seconds.
      seed: An int; one seed gives one plan.
    Returns:
      A list of Arrival in the order of time.
    """
    source = random.Random(seed)
    weights = [part.weight for part in parts]
    arrivals = []
    at_s = source.expovariate(rate)
    while at_s < duration_s:
        part = source.choices(parts, weights)[0]
        tokens = part.draw_tokens(source)
        arrivals.append(Arrival(at_s * 1000, part, tokens))
        at_s += source.expovariate(rate)
    return arrivals


def make_prompt(tokens, seed, shared_tokens=0):
    """Return a prompt of a number of tokens of four bytes.

    Args:
      tokens: The length in tokens.
      seed: Prompts of one seed and length are equal.
      shared_tokens: How many leading tokens are the same for all seeds.
    Returns:
      A string of exactly four times `tokens` characters.
    """
    shared = _make_words(shared_tokens, 'shared')
    return shared + _make_words(tokens - shared_tokens, seed)


def _make_words(tokens, seed):
    size = tokens * _BYTES_PER_TOKEN
    source = random.Random(seed)
    count = min(tokens, _BLOCK_WORDS)
    block = ' '.join(source.choices(_WORDS, k=count + 1))
    repeated = f'{block} ' * (size // len(block) + 1)
    return repeated[:size]
