"""The configuration of a soak, and how it changes."""

from bench.soak.fleet import now_s

_MS_PER_SECOND = 1000
_APPLY_S = 4
_IDLE_MS = (1500, 3000, 4000, 8000)
_TIMEOUT_MS = (6000, 9000, 12_000)
_FIRST_IDLE_MS = 4000
_FIRST_TIMEOUT_MS = 9000
_ENGINE = {  # noqa: WPS407  (a table)
    'slots': 12,
    'kv-capacity-tokens': 200_000,
    'stride': 1,
    'step_ms': 40,
    'per_seq_ms': 0.4,
    'read_per_s': 20_000,
    'chunk': 2048,
    'report_lag_ms': 100,
    'usual': {'prompt': 800, 'answer': 60},
}
#: Routes in every configuration: path, kind, pool, the most attempts, and
#: whether a stream may be resumed.
ROUTES = (
    ('/again/', 'idempotent', 'plain', 3, False),
    ('/once/', 'non_idempotent', 'plain', 1, False),
    ('/once-two/', 'non_idempotent', 'spare', 2, False),
    ('/stream/', 'streaming', 'engines', 1, False),
    ('/stream-two/', 'streaming', 'engines', 2, False),
    ('/resume/', 'streaming', 'engines', 3, True),
)
_ENGINE_POOL = 'engines'
_PLAIN_POOLS = ('plain', 'spare')
POOLS = (*_PLAIN_POOLS, _ENGINE_POOL)
STREAM_PATHS = frozenset(
    path for path, kind, *_rest in ROUTES if kind == 'streaming'
)
#: The most attempts of requests that may run more than once.
REPEATS = {  # noqa: WPS407  (a table)
    path: attempts
    for path, kind, _pool, attempts, can_resume in ROUTES
    if can_resume or kind == 'idempotent'
}


class Config:
    """The configuration and its changes.

    Attributes:
      document: The newest configuration.
      added_paths: The path prefixes of routes that were added, in order.
      shortest_timeout_s: The shortest of all routes' timeouts so far.
    """

    def __init__(self, random):
        """Create the first configuration.

        Args:
          random: The random.Random that chooses the changes.
        """
        self._random = random
        self._idle_log = [(0, _FIRST_IDLE_MS)]
        self.added_paths = []
        self.shortest_timeout_s = _FIRST_TIMEOUT_MS / _MS_PER_SECOND
        self.document = {
            'version': 1,
            'routes': [_make_route(*fields) for fields in ROUTES],
            'services': [_make_pool(name) for name in POOLS],
            'limits': {
                'max-header-bytes': 16_384,
                'max-body-bytes': 1_048_576,
                'header-timeout-ms': 5000,
                'idle-timeout-ms': _FIRST_IDLE_MS,
            },
        }

    def change(self):
        """Change the configuration in one way.

        Returns:
          The name of the change.
        """
        changes = (
            self._change_idle_time,
            self._change_timeout,
            self._move_route,
            self._add_route,
            self._remove_route,
        )
        change = self._random.choice(changes)
        self.document['version'] += self._random.randint(1, 9)
        change()
        return change.__name__.strip('_')

    def idle_s(self):
        """Return the shortest idle time that may be in force, in seconds."""
        settled = now_s() - _APPLY_S
        recent = [entry for entry in self._idle_log if entry[0] > settled]
        before = self._idle_log[-len(recent) - 1]
        return (
            min(idle_ms for _at, idle_ms in (before, *recent)) / _MS_PER_SECOND
        )

    def _change_idle_time(self):
        idle_ms = self._random.choice(_IDLE_MS)
        self.document['limits']['idle-timeout-ms'] = idle_ms
        self._idle_log.append((now_s(), idle_ms))

    def _change_timeout(self):
        timeout_ms = self._random.choice(_TIMEOUT_MS)
        self._random.choice(self.document['routes'])['timeout-ms'] = timeout_ms
        self.shortest_timeout_s = min(
            self.shortest_timeout_s, timeout_ms / _MS_PER_SECOND
        )

    def _move_route(self):
        plain_routes = [
            route
            for route in self.document['routes']
            if route['service'] in _PLAIN_POOLS
        ]
        pool = self._random.choice(_PLAIN_POOLS)
        self._random.choice(plain_routes)['service'] = pool

    def _add_route(self):
        path = f'/extra-{self.document["version"]}/'
        route = _make_route(
            path, 'non_idempotent', 'plain', 1, can_resume=False
        )
        self.document['routes'].append(route)
        self.added_paths.append(path)

    def _remove_route(self):
        if not self.added_paths:
            return
        path = self.added_paths.pop(0)
        self.document['routes'] = [
            route
            for route in self.document['routes']
            if route['path-prefix'] != path
        ]


def _make_route(path, kind, pool, attempts, can_resume):
    return {
        'host': 'a.example',
        'path-prefix': path,
        'kind': kind,
        'service': pool,
        'timeout-ms': _FIRST_TIMEOUT_MS,
        'target-latency-ms': 1000,
        'max-attempts': attempts,
        'stream-resume': can_resume,
        'priority': 1,
    }


def _make_pool(name):
    document = {'name': name, 'health-path': '/healthz'}
    if name == _ENGINE_POOL:
        document['engine'] = _ENGINE
    return document
