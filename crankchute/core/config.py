"""Data classes for the configuration that operators publish.

The configuration is published as one document per key: `models`, `pools`,
`classes`, `policy` and `accounts`.  A section other than `policy` may be
split over several keys, such as `accounts/NAME`, to bound the size of each
document.
"""

_DEFAULT_WIDTH = 3
_DEFAULT_BYTES_PER_TOKEN = 4
_DEFAULT_MAX_PROMPT_TOKENS = 1_048_576
_DEFAULT_LONG_SHARE = 1
_DEFAULT_MAX_IN_PROGRESS = 1000
_DEFAULT_TOKENS_PER_SECOND = 10_000_000
_DEFAULT_MAX_DEADLINE_MS = 3_600_000
_DEFAULT_PRIORITY = 5


class Model:
    """A model that engines can serve."""

    __slots__ = (
        'adapters',
        'bytes_per_token',
        'max_prompt_tokens',
        'name',
        'version',
    )

    def __init__(self, document):
        """Create a model from its document.

        Args:
          document: A map that conforms to the schema.
        """
        self.name = document['name']
        self.version = document['version']
        self.adapters = tuple(document.get('adapters', ()))
        self.bytes_per_token = document.get(
            'bytes_per_token',
            _DEFAULT_BYTES_PER_TOKEN,
        )
        self.max_prompt_tokens = document.get(
            'max_prompt_tokens',
            _DEFAULT_MAX_PROMPT_TOKENS,
        )


class Pool:
    """A group of backend servers selected by label."""

    __slots__ = (
        'checks_fences',
        'kind',
        'labels',
        'long_share',
        'min_engines',
        'models',
        'name',
        'role',
        'selector',
    )

    def __init__(self, document):
        """Create a pool from its document.

        Args:
          document: A map that conforms to the schema.
        """
        self.name = document['name']
        self.kind = document['kind']
        self.labels = dict(document.get('labels', {}), pool=self.name)
        self.selector = document['selector']
        self.models = tuple(document.get('models', ()))
        self.min_engines = document.get('min_engines', 1)
        self.long_share = document.get('long_share', _DEFAULT_LONG_SHARE)
        self.checks_fences = document.get('checks_fences', True)
        self.role = document.get('role', '')

    @property
    def backend_kind(self):
        """The backend kind as it is named in the server list."""
        return 'engine' if self.kind == 'model' else self.kind


class WorkloadClass:
    """A class of requests: who may send them, and which pools serve them."""

    __slots__ = ('accounts', 'max_deadline_ms', 'name', 'pools', 'priority')

    def __init__(self, document):
        """Create a workload class from its document.

        Args:
          document: A map that conforms to the schema.
        """
        self.name = document['name']
        self.pools = document['pools']
        self.accounts = document['accounts']
        self.priority = document.get('priority', _DEFAULT_PRIORITY)
        self.max_deadline_ms = document.get(
            'max_deadline_ms',
            _DEFAULT_MAX_DEADLINE_MS,
        )


class Account:
    """A client account and its system-wide limits."""

    __slots__ = (
        'labels',
        'max_in_progress',
        'name',
        'tokens_per_second',
        'weight',
        'width',
    )

    def __init__(self, document):
        """Create an account from its document.

        Args:
          document: A map that conforms to the schema.
        """
        self.name = document['name']
        self.labels = dict(document.get('labels', {}), account=self.name)
        self.weight = document.get('weight', 1)
        self.width = document.get('width', _DEFAULT_WIDTH)
        self.max_in_progress = document.get(
            'max_in_progress',
            _DEFAULT_MAX_IN_PROGRESS,
        )
        self.tokens_per_second = document.get(
            'tokens_per_second',
            _DEFAULT_TOKENS_PER_SECOND,
        )


class Policy:
    """System-wide routing and placement settings."""

    __slots__ = ('placement', 'routing')

    def __init__(self, document):
        """Create the policy from its document.

        Args:
          document: A map that conforms to the schema.
        """
        self.routing = document.get('routing', 'earliest-start')
        self.placement = document.get('placement', True)


class Config:
    """One validated revision of the configuration.

    Attributes:
      revision: The platform's revision, an int.
      models, pools, classes, accounts: Maps of names to objects.
      policy: A Policy.
    """

    __slots__ = (
        'accounts',
        'classes',
        'models',
        'policy',
        'pools',
        'revision',
    )

    def __init__(self, revision, sections):
        """Create a configuration.

        Args:
          revision: The platform's revision, an int.
          sections: A map of section names to maps of names to objects; the
            value of "policy" is a Policy.
        """
        self.revision = revision
        self.models = sections['models']
        self.pools = sections['pools']
        self.classes = sections['classes']
        self.accounts = sections['accounts']
        self.policy = sections['policy']
