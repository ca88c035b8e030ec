"""Decodes the settings file of an instance on the platform."""

import os
import tomllib

from crankchute.errors import Finding, SettingsError
from crankchute.settings import read_address

_PATH_VARIABLE = 'CRANKCHUTE_CONFIG'
_DEFAULT_PATH = '/etc/crankchute/settings.toml'
_MS_PER_SECOND = 1000
_BYTES_PER_MB = 1_048_576
_MILLICORES_PER_CORE = 1000
_MISSING = object()


class Listeners:
    """The addresses that this instance listens on, pairs of IP and port.

    Attributes:
      callers: For requests.
      readiness: For the platform's readiness checks.
      directory: For address lookups by callers, or None.
      peers: For messages from other instances, or None.
      metrics: For the metrics and debug pages, or None.
    """

    __slots__ = ('callers', 'directory', 'metrics', 'peers', 'readiness')

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute but `metrics`.
        """
        self.metrics = None
        for name, address in fields.items():
            setattr(self, name, address)

    def set_metrics_port(self, port):
        """Serve the metrics pages at the IP address for callers.

        Args:
          port: A port number.
        """
        host, _port = self.callers
        self.metrics = (host, port)

    def addresses(self):
        """Return the configured addresses except the one for peers."""
        candidates = (
            self.callers,
            self.readiness,
            self.directory,
            self.metrics,
        )
        return [address for address in candidates if address is not None]


class Bounds:
    """Service-level bounds that the platform requires; times in milliseconds.

    Attributes:
      grace_ms: The longest time from the signal to stop to the exit.
      config_apply_ms: The longest time until a new configuration applies.
      revoke_ms: The longest time until a revoked API key is rejected.
      retry_ratio: Retries allowed per request, over all instances.
      retry_slack: Retries allowed in a window beyond the ratio.
      retry_window_ms: The window over which retries are counted.
      unused_ms: How long a memory reservation may stay unused.
      is_revocation_strict: Whether requests are rejected when the instance
        cannot know if their key was revoked, a bool.
    """

    __slots__ = (
        'config_apply_ms',
        'grace_ms',
        'is_revocation_strict',
        'retry_ratio',
        'retry_slack',
        'retry_window_ms',
        'revoke_ms',
        'unused_ms',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class InstanceSettings:
    """The settings of one instance.

    Attributes:
      instance: The id of this instance.
      data_centre: The data centre that it runs in.
      listeners: Listeners.
      seeds: Peer addresses of other instances, pairs of IP and port.
      peer_ports: The first and last port for messages between instances.
      store: The address of the platform's store, a pair of IP and port.
      bounds: Bounds.
      millicores: The processor share of the instance in thousandths of a
        core, or 0 if unknown.
      memory_bytes: The memory limit of the process, or None if there is none.
    """

    __slots__ = (
        'bounds',
        'data_centre',
        'instance',
        'listeners',
        'memory_bytes',
        'millicores',
        'peer_ports',
        'seeds',
        'store',
    )

    def __init__(self, **fields):
        """Create the record.

        Args:
          fields: A value for each attribute.
        """
        for name in self.__slots__:
            setattr(self, name, fields[name])


class _DocumentReader:
    """Reads values of a document and collects findings."""

    def __init__(self, document):
        self._document = document
        self.findings = []

    def read(self, path, convert, default=_MISSING):
        """Return the converted value at a dotted path, or None on error."""
        node = self._document
        for name in path.split('.'):
            node = node.get(name) if isinstance(node, dict) else None
        if node is None:
            if default is _MISSING:
                self.findings.append(Finding(path, 'is required'))
                return None
            return default
        try:
            return convert(node)
        except (TypeError, ValueError) as exc:
            self.findings.append(Finding(path, f'{node!r}: {exc}'))
            return None


def load_settings(environ=os.environ):
    """Load the settings file that CRANKCHUTE_CONFIG names.

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
    """Decode the settings.

    Args:
      document: A map that tomllib returned.
    Returns:
      InstanceSettings.
    Raises:
      SettingsError: With every finding.
    """
    reader = _DocumentReader(document)
    settings = InstanceSettings(
        instance=reader.read('node-name', str),
        data_centre=reader.read('zone', str),
        listeners=_read_listeners(reader),
        seeds=reader.read('seeds', _read_addresses, ()),
        peer_ports=reader.read('internal-port-range', _read_range),
        store=reader.read('platform.address', read_address),
        bounds=_read_bounds(reader),
        memory_bytes=reader.read('limits.memory-mb', _read_megabytes, None),
        millicores=_read_millicores(reader),
    )
    if reader.findings:
        raise SettingsError(reader.findings)
    return settings


def _read_listeners(reader):
    return Listeners(
        callers=reader.read('listen.frontend', read_address),
        readiness=reader.read('listen.readiness', read_address),
        directory=reader.read('listen.directory', read_address, None),
        peers=reader.read('listen.control', read_address, None),
    )


def _read_bounds(reader):
    fields = {
        name: reader.read(f'bounds.{path}', convert, default)
        for name, path, convert, default in _BOUNDS
    }
    return Bounds(**fields)


def _read_millicores(reader):
    share = reader.read('limits.cpu-share', float, 0)
    cores = reader.read('limits.cpu-cores', float, 1)
    if share is None or cores is None:
        return 0
    return round(share * cores * _MILLICORES_PER_CORE)


def _read_addresses(texts):
    return tuple(read_address(text) for text in texts)


def _read_range(ports):
    first, last = ports
    return int(first), int(last)


def _read_megabytes(number):
    if float(number) <= 0:
        raise ValueError('must be positive')
    return round(float(number) * _BYTES_PER_MB)


def _read_seconds(number):
    return float(number) * _MS_PER_SECOND


def _read_bool(setting):
    if not isinstance(setting, bool):
        raise TypeError('must be true or false')
    return setting


#: The attributes of Bounds: attribute, key in the file, converter, default.
_BOUNDS = (
    ('grace_ms', 'grace-s', _read_seconds, 8000),
    ('config_apply_ms', 'config-apply-ms', float, 3000),
    ('revoke_ms', 'revoke-ms', float, 5000),
    ('retry_ratio', 'retry-budget-ratio', float, 0.1),
    ('retry_slack', 'retry-slack', float, 10),
    ('retry_window_ms', 'retry-window-s', _read_seconds, 10_000),
    ('unused_ms', 'idle_max_ms', float, 9000),
    ('is_revocation_strict', 'strict-revocation', _read_bool, True),
)
