"""The settings file of the platform, decoded into the project's own words."""

import os
import tomllib

from crankchute.errors import Finding, SettingsError
from crankchute.settings import read_address

_PATH_VARIABLE = 'CRANKCHUTE_CONFIG'
_DEFAULT_PATH = '/etc/crankchute/settings.toml'
_MS_PER_SECOND = 1000
_MILLI = 1000
_MISSING = object()


class Listeners:
    """The addresses that this instance listens on, pairs of IP and port.

    Attributes:
      callers: For requests.
      readiness: For the platform's checks.
      directory: For callers that ask where to go.
      peers: For the other instances, through the seeds.
      operators: For metrics and the state of the process.
    """

    __slots__ = ('callers', 'directory', 'operators', 'peers', 'readiness')

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute, None where it is not served.
        """
        self.operators = None
        for name, address in fields.items():
            setattr(self, name, address)

    def set_metrics_port(self, port):
        """Serve operators at a port of the address for callers.

        Args:
          port: A port number.
        """
        host, _port = self.callers
        self.operators = (host, port)

    def addresses(self):
        """Return the addresses that are listened on, peers' apart."""
        served = (
            self.callers,
            self.readiness,
            self.directory,
            self.operators,
        )
        return [one for one in served if one is not None]


class Bounds:
    """The times and limits that the platform holds the system to.

    Attributes:
      grace_ms: How long a process may take to stop.
      in_force_ms: Within what time a new version must be in force.
      revoke_ms: Within what time a revoked key must be refused everywhere.
      retry_ratio: Retries for each request, all instances together.
      retry_slack: Retries beyond that in any window.
      retry_window_ms: That window.
      unused_ms: How long memory may be set aside while no request uses it.
      is_revocation_strict: Whether a revoked key must be refused also where
        its revocation could not be heard of, a bool.
    """

    __slots__ = (
        'grace_ms',
        'in_force_ms',
        'is_revocation_strict',
        'retry_ratio',
        'retry_slack',
        'retry_window_ms',
        'revoke_ms',
        'unused_ms',
    )

    def __init__(self, **fields):
        """Create the bounds.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class InstanceSettings:
    """What one instance is told at its start.

    Attributes:
      instance: The id of this instance.
      data_centre: Where it runs.
      listeners: Listeners.
      seeds: Addresses of other instances for peers, pairs of IP and port.
      peer_ports: The first and last port for messages between instances.
      store: The address of the platform's store, a pair of IP and port.
      bounds: Bounds.
      millicores: The processor that this machine has, in thousandths of a
        core, or 0 where that is not told.
    """

    __slots__ = (
        'bounds',
        'data_centre',
        'instance',
        'listeners',
        'millicores',
        'peer_ports',
        'seeds',
        'store',
    )

    def __init__(self, **fields):
        """Create the settings.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class _Reader:
    """Reads values of a document and gathers findings."""

    def __init__(self, document):
        self._document = document
        self.findings = []

    def take(self, path, convert, default=_MISSING):
        """Return a converted value, or None after a finding."""
        found = self._document
        for name in path.split('.'):
            found = found.get(name) if isinstance(found, dict) else None
        if found is None:
            if default is _MISSING:
                self.findings.append(Finding(path, 'is required'))
                return None
            return default
        try:
            return convert(found)
        except (TypeError, ValueError) as exc:
            self.findings.append(Finding(path, f'{found!r}: {exc}'))
            return None


def load_settings(environ=os.environ):
    """Read the settings file that the environment names.

    Args:
      environ: A map of environment variables.
    Returns:
      InstanceSettings.
    Raises:
      SettingsError: With every finding.
    """
    path = environ.get(_PATH_VARIABLE, _DEFAULT_PATH)
    try:
        with open(path, 'rb') as settings_file:
            document = tomllib.load(settings_file)
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError([Finding(path, str(exc))]) from exc
    return read_settings(document)


def read_settings(document):
    """Return the settings of a document.

    Args:
      document: A map, as TOML gives it.
    Returns:
      InstanceSettings.
    Raises:
      SettingsError: With every finding.
    """
    reader = _Reader(document)
    settings = InstanceSettings(
        instance=reader.take('node-name', str),
        data_centre=reader.take('zone', str),
        listeners=_read_listeners(reader),
        seeds=reader.take('seeds', _read_addresses, ()),
        peer_ports=reader.take('internal-port-range', _read_range),
        store=reader.take('platform.address', read_address),
        bounds=_read_bounds(reader),
        millicores=_read_millicores(reader),
    )
    if reader.findings:
        raise SettingsError(reader.findings)
    return settings


def _read_listeners(reader):
    return Listeners(
        callers=reader.take('listen.frontend', read_address),
        readiness=reader.take('listen.readiness', read_address),
        directory=reader.take('listen.directory', read_address, None),
        peers=reader.take('listen.control', read_address, None),
    )


def _read_bounds(reader):
    chosen = {
        name: reader.take(f'bounds.{path}', convert, default)
        for name, path, convert, default in _BOUNDS
    }
    return Bounds(**chosen)


def _read_millicores(reader):
    share = reader.take('limits.cpu-share', float, 0)
    cores = reader.take('limits.cpu-cores', float, 1)
    if share is None or cores is None:
        return 0
    return round(share * cores * _MILLI)


def _read_addresses(texts):
    return tuple(read_address(text) for text in texts)


def _read_range(pair):
    first, last = pair
    return int(first), int(last)


def _read_seconds(number):
    return float(number) * _MS_PER_SECOND


def _read_flag(told):
    if not isinstance(told, bool):
        raise TypeError('is neither true nor false')
    return told


#: Attributes of Bounds: the wire's name, its reader, and what holds where a
#: deployment does not tell it.
_BOUNDS = (
    ('grace_ms', 'grace-s', _read_seconds, 8000),
    ('in_force_ms', 'config-apply-ms', float, 3000),
    ('revoke_ms', 'revoke-ms', float, 5000),
    ('retry_ratio', 'retry-budget-ratio', float, 0.1),
    ('retry_slack', 'retry-slack', float, 10),
    ('retry_window_ms', 'retry-window-s', _read_seconds, 10_000),
    ('unused_ms', 'idle_max_ms', float, 9000),
    ('is_revocation_strict', 'strict-revocation', _read_flag, True),
)
