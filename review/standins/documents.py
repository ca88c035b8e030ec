"""Configurations of a small deployment with a plain service."""

HOST = 'tickets.example'
SERVICE = 'tiket-web'
PATH = '/hold/'
LIMITS = {
    'max-header-bytes': 16_384,
    'max-body-bytes': 4_194_304,
    'header-timeout-ms': 3000,
    'idle-timeout-ms': 15_000,
}


def make_route(prefix=PATH, service=SERVICE, **changes):
    """Return a route of repeatable requests to a plain service."""
    return {
        'name': f'r-{prefix.strip("/")}',
        'host': HOST,
        'path-prefix': prefix,
        'kind': 'idempotent',
        'timeout-ms': 2000,
        'target-latency-ms': 300,
        'priority': 2,
        'service': service,
        'max-attempts': 2,
        'allow-anonymous': False,
        **changes,
    }


def make_config(version, routes, tenants):
    """Return a configuration.

    Args:
      version: An int.
      routes: A list of routes.
      tenants: A map from names to lists of keys.
    """
    services = sorted({route['service'] for route in routes})
    return {
        'version': version,
        'routes': routes,
        'services': [
            {
                'name': name,
                'health-path': '/healthz',
                'max-connections': 96,
                'protocol': 'h1',
                'tls': False,
            }
            for name in services
        ],
        'limits': LIMITS,
        'tenants': [
            {'name': name, 'api-keys': keys, 'priority': 1}
            for name, keys in tenants.items()
        ],
    }


def make_headers(request_id, key, deadline_ms=2000):
    """Return the headers of a client's request."""
    return [
        ('Host', HOST),
        ('X-Crankchute-Request-Id', request_id),
        ('X-Crankchute-Deadline-Ms', str(deadline_ms)),
        ('Authorization', f'Bearer {key}'),
    ]
