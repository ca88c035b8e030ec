"""Traffic mixes: client accounts, workload classes and prompt lengths."""

import math
import random
from types import MappingProxyType

import jsonschema
import orjson

from crankchute.errors import Finding, SettingsError

_VOCABULARY = (
    'route seat fare terminal coach manifest dispatcher complaint delay gate '
    'pallet chamber reading degree ledger truck auditor season invoice hold'
).split()
_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_TOKENS = 32
_DEFAULT_DEADLINE_MS = 30_000
_MAX_BLOCK_WORDS = 4096
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
    """One kind of request in a traffic mix.

    Attributes:
      account: The name of the client account.
      workload: The name of the workload class.
      weight: The share of requests, relative to the other entries of the mix.
      shortest_prompt, longest_prompt: The range of prompt lengths in tokens.
      max_tokens: The answer length in tokens.
      deadline_ms: The deadline of each request, in milliseconds.
    """

    __slots__ = (
        'account',
        'deadline_ms',
        'longest_prompt',
        'max_tokens',
        'shortest_prompt',
        'weight',
        'workload',
    )

    def __init__(self, document):
        """Create an entry.

        Args:
          document: A map that is valid under SCHEMA.
        """
        self.account = document['account']
        self.workload = document['class']
        self.weight = document.get('weight', 1)
        self.shortest_prompt = document['tokens'][0]
        self.longest_prompt = document['tokens'][1]
        self.max_tokens = document.get('max_tokens', _DEFAULT_MAX_TOKENS)
        self.deadline_ms = document.get('deadline_ms', _DEFAULT_DEADLINE_MS)

    def draw_prompt_length(self, rng):
        """Return a random prompt length, log-uniformly distributed.

        Args:
          rng: A random.Random.
        """
        low, high = (
            math.log(self.shortest_prompt),
            math.log(self.longest_prompt),
        )
        return round(math.exp(rng.uniform(low, high)))


class Arrival:
    """A request of the load plan."""

    __slots__ = ('at_ms', 'part', 'tokens')

    def __init__(self, at_ms, part, tokens):
        """Create the arrival.

        Args:
          at_ms: Milliseconds from the start of the run.
          part: The entry of the mix that it belongs to.
          tokens: The prompt length in tokens.
        """
        self.at_ms = at_ms
        self.part = part
        self.tokens = tokens


def read_mix(text, origin):
    """Parse and validate a traffic mix.

    Args:
      text: Bytes of a JSON document.
      origin: The path or name of the source, for findings.
    Returns:
      A list of Part.
    Raises:
      SettingsError: With all findings, if the mix is invalid.
    """
    try:
        document = orjson.loads(text)
    except orjson.JSONDecodeError as exc:
        raise SettingsError([Finding(origin, f'is not JSON: {exc}')]) from exc
    errors = jsonschema.Draft202012Validator(dict(SCHEMA)).iter_errors(document)
    findings = [
        Finding(f'{origin}{error.json_path[1:]}', error.message)
        for error in errors
    ]
    if findings:
        raise SettingsError(findings)
    return [Part(profile) for profile in document]


def plan_arrivals(profiles, rate, duration_s, seed):
    """Generate open-loop Poisson arrivals.

    Args:
      profiles: A list of Part.
      rate: Requests per second.
      duration_s: The length of the run in seconds.
      seed: An int; equal seeds give equal plans.
    Returns:
      A list of Arrival, sorted by time.
    """
    rng = random.Random(seed)
    weights = [profile.weight for profile in profiles]
    arrivals = []
    at_s = rng.expovariate(rate)
    while at_s < duration_s:
        profile = rng.choices(profiles, weights)[0]
        tokens = profile.draw_prompt_length(rng)
        arrivals.append(Arrival(at_s * 1000, profile, tokens))
        at_s += rng.expovariate(rate)
    return arrivals


def make_prompt(tokens, seed, shared_tokens=0):
    """Return a pseudo-random prompt.

    Args:
      tokens: The length in tokens of four bytes.
      seed: Prompts with equal seeds and lengths are equal.
      shared_tokens: The length of the prefix that all seeds share.
    Returns:
      A string of four times `tokens` ASCII characters.
    """
    shared = _make_text(shared_tokens, 'shared')
    return shared + _make_text(tokens - shared_tokens, seed)


def _make_text(tokens, seed):
    size = tokens * _BYTES_PER_TOKEN
    rng = random.Random(seed)
    count = min(tokens, _MAX_BLOCK_WORDS)
    block = ' '.join(rng.choices(_VOCABULARY, k=count + 1))
    repeated = f'{block} ' * (size // len(block) + 1)
    return repeated[:size]
