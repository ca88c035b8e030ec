"""Decodes the settings file of an instance on the platform."""

import os
import tomllib

from crankchute.errors import Finding, SettingsError
from crankchute.platform.setting_values import (
    read_addresses,
    read_bool,
    read_megabytes,
    read_names,
    read_non_negative,
    read_range,
    read_seconds,
)
from crankchute.settings import read_address

_PATH_VARIABLE = 'CRANKCHUTE_CONFIG'
_DEFAULT_PATH = '/etc/crankchute/settings.toml'
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
      evacuate_ms: The longest time until a request to evacuate a data centre
        takes effect, or None if such requests are not read.
      revoke_ms: The longest time until a revoked API key is rejected.
      retry_ratio: Retries allowed per request, over all instances.
      retry_slack: Retries allowed in a window beyond the ratio.
      retry_window_ms: The window over which retries are counted.
      unused_ms: How long a memory reservation may stay unused.
      is_revocation_strict: Whether requests are rejected when the instance
        cannot know if their key was revoked, a bool.
      cold_overage: The tolerated factor on the request rate of cold servers,
        or None if no server counts as cold.
      cold_slack: The requests tolerated beyond that in each second.
    """

    __slots__ = (
        'cold_overage',
        'cold_slack',
        'config_apply_ms',
        'evacuate_ms',
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
      data_centres: The names of all data centres in the settings, a tuple.
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
        'data_centres',
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
        data_centres=reader.read('zones', read_names, ()),
        listeners=_read_listeners(reader),
        seeds=reader.read('seeds', read_addresses, ()),
        peer_ports=reader.read('internal-port-range', read_range),
        store=reader.read('platform.address', read_address),
        bounds=_read_bounds(reader),
        memory_bytes=reader.read('limits.memory-mb', read_megabytes, None),
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


#: The attributes of Bounds: attribute, key in the file, converter, default.
_BOUNDS = (
    ('grace_ms', 'grace-s', read_seconds, 8000),
    ('config_apply_ms', 'config-apply-ms', float, 3000),
    ('evacuate_ms', 'evacuate-ms', float, None),
    ('revoke_ms', 'revoke-ms', float, 5000),
    ('retry_ratio', 'retry-budget-ratio', float, 0.1),
    ('retry_slack', 'retry-slack', float, 10),
    ('retry_window_ms', 'retry-window-s', read_seconds, 10_000),
    ('unused_ms', 'idle_max_ms', float, 9000),
    ('is_revocation_strict', 'strict-revocation', read_bool, True),
    ('cold_overage', 'cold-overage', read_non_negative, None),
    ('cold_slack', 'cold-slack', read_non_negative, 0),
)
