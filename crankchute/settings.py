"""Settings of processes, from flags and environment variables.

Each flag `--some-name` can also be set by the environment variable
CRANKCHUTE_SOME_NAME; the flag takes precedence.  All settings are validated
together, so that one run reports every finding.
"""

import ipaddress
import re

from crankchute.errors import Finding, SettingsError

_ENVIRONMENT_PREFIX = 'CRANKCHUTE_'
_MAX_PORT = 65_535
_NAME_PATTERN = re.compile('[a-z0-9][a-z0-9-]{0,62}')


class Setting:
    """The definition of a setting: its name, parser and help text."""

    __slots__ = ('default', 'help_text', 'is_list', 'name', 'read')

    def __init__(self, name, read, help_text, default=None, *, is_list=False):
        """Create a definition.

        Args:
          name: The flag without the leading dashes.
          read: A function from text to value that may raise ValueError.
          help_text: The help text of the flag.
          default: The default as text; None if the setting is required.
          is_list: Whether the text is a comma-separated list.
        """
        self.name = name
        self.read = read
        self.help_text = help_text
        self.default = default
        self.is_list = is_list

    @property
    def environment_variable(self):
        """The name of the environment variable."""
        upper_name = self.name.upper().replace('-', '_')
        return f'{_ENVIRONMENT_PREFIX}{upper_name}'

    @property
    def attribute(self):
        """The name of the attribute in the argparse namespace and Settings."""
        return self.name.replace('-', '_')

    def read_text(self, text):
        """Parse the text of the setting.

        Args:
          text: A string.
        Raises:
          ValueError: If the text is invalid.
        """
        if not self.is_list:
            return self.read(text)
        parts = [part.strip() for part in text.split(',')]
        return tuple(self.read(part) for part in parts if part)


class Settings:
    """Validated values, with one attribute for each setting."""

    def __init__(self, values_by_name):
        """Create the settings.

        Args:
          values_by_name: A map from attribute name to value.
        """
        for name, setting_value in values_by_name.items():
            setattr(self, name, setting_value)


def add_flags(parser, settings):
    """Add a flag to a parser for each setting.

    Args:
      parser: An argparse parser.
      settings: A sequence of Setting.
    """
    for setting in settings:
        help_text = f'{setting.help_text} [{setting.environment_variable}'
        if setting.default is not None:
            default = setting.default or 'none'
            help_text = f'{help_text}; default: {default}'
        parser.add_argument(
            f'--{setting.name}',
            dest=setting.attribute,
            metavar='VALUE',
            help=f'{help_text}]'.replace('%', '%%'),
        )


def read_settings(settings, flags, environ):
    """Read and validate all settings.

    Args:
      settings: A sequence of Setting.
      flags: The argparse namespace.
      environ: The environment variables, a map.
    Returns:
      Settings.
    Raises:
      SettingsError: If settings are missing or invalid; has all findings.
    """
    findings = []
    values_by_name = {}
    for setting in settings:
        location, text = _find_text(setting, flags, environ)
        if text is None:
            findings.append(Finding(location, 'is required'))
            continue
        try:
            values_by_name[setting.attribute] = setting.read_text(text)
        except ValueError as exc:
            findings.append(Finding(location, f'{text!r}: {exc}'))
    if findings:
        raise SettingsError(findings)
    return Settings(values_by_name)


def read_address(text):
    """Parse an "IP:port" pair.

    Args:
      text: The text.
    Returns:
      A pair of IPv4 address, a string, and port, an int.
    Raises:
      ValueError: If the text is not an IPv4 address and a port.
    """
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError('is not IP:port')
    ipaddress.IPv4Address(host)
    port_number = read_count(port)
    if port_number > _MAX_PORT:
        raise ValueError('the port is above 65535')
    return host, port_number


def read_count(text):
    """Parse a non-negative integer.

    Args:
      text: The text.
    Raises:
      ValueError: If the text is not a non-negative integer.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError('is not a non-negative integer')
    return int(text)


def read_name(text):
    """Validate a name of lower-case letters, digits and dashes.

    Args:
      text: The text.
    Raises:
      ValueError: If the text is not such a name.
    """
    if not _NAME_PATTERN.fullmatch(text):
        raise ValueError('is not a name of a-z, 0-9 and dashes')
    return text


def read_yes_no(text):
    """Parse "yes" or "no".

    Args:
      text: The text.
    Returns:
      A bool.
    Raises:
      ValueError: If the text is neither.
    """
    if text not in {'yes', 'no'}:
        raise ValueError('is neither yes nor no')
    return text == 'yes'


def _find_text(setting, flags, environ):
    text = getattr(flags, setting.attribute, None)
    if text is not None:
        return f'--{setting.name}', text
    text = environ.get(setting.environment_variable)
    if text is not None:
        return setting.environment_variable, text
    return f'--{setting.name}', setting.default
