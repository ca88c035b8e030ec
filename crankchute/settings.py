"""Settings of processes: flags, environment variables, findings together.

Each flag `--some-name` can be given as the variable CRANKCHUTE_SOME_NAME; a
flag goes before a variable.  All values are checked before any is used.
"""

import ipaddress
import re

from crankchute.errors import Finding, SettingsError

_PREFIX = 'CRANKCHUTE_'
_LARGEST_PORT = 65_535
_NAME = re.compile('[a-z0-9][a-z0-9-]{0,62}')


class Setting:
    """One setting: its flag, its reader, and what it is for."""

    __slots__ = ('default', 'help_text', 'is_list', 'name', 'read')

    def __init__(self, name, read, help_text, default=None, *, is_list=False):
        """Create a setting.

        Args:
          name: The flag without its dashes.
          read: A function from text to value; raises ValueError.
          help_text: A sentence for people.
          default: The text used if nothing is given; None if one is required.
          is_list: Whether the text is a list separated by commas.
        """
        self.name = name
        self.read = read
        self.help_text = help_text
        self.default = default
        self.is_list = is_list

    @property
    def environment_name(self):
        """The name of the environment variable."""
        upper = self.name.upper().replace('-', '_')
        return f'{_PREFIX}{upper}'

    @property
    def attribute(self):
        """The name of the attribute that argparse and Settings use."""
        return self.name.replace('-', '_')

    def read_text(self, text):
        """Return the value of a text.

        Args:
          text: A string.
        Raises:
          ValueError: If the text is not valid.
        """
        if not self.is_list:
            return self.read(text)
        parts = [part.strip() for part in text.split(',')]
        return tuple(self.read(part) for part in parts if part)


class Settings:
    """Checked values, one attribute for each setting."""

    def __init__(self, chosen):
        """Create the settings.

        Args:
          chosen: A map from attribute name to value.
        """
        for name, chosen_value in chosen.items():
            setattr(self, name, chosen_value)


def add_flags(parser, settings):
    """Add a flag for each setting to a parser.

    Args:
      parser: An argparse parser.
      settings: A sequence of Setting.
    """
    for setting in settings:
        note = f'{setting.help_text} [{setting.environment_name}'
        if setting.default is not None:
            shown = setting.default or 'none'
            note = f'{note}; default: {shown}'
        parser.add_argument(
            f'--{setting.name}',
            dest=setting.attribute,
            metavar='VALUE',
            help=f'{note}]'.replace('%', '%%'),
        )


def read_settings(settings, flags, environ):
    """Check all settings and return them.

    Args:
      settings: A sequence of Setting.
      flags: What argparse parsed; an attribute for each setting.
      environ: A map of environment variables.
    Returns:
      Settings.
    Raises:
      SettingsError: With every finding.
    """
    findings = []
    chosen = {}
    for setting in settings:
        place, text = _find_text(setting, flags, environ)
        if text is None:
            findings.append(Finding(place, 'is required'))
            continue
        try:
            chosen[setting.attribute] = setting.read_text(text)
        except ValueError as exc:
            findings.append(Finding(place, f'{text!r}: {exc}'))
    if findings:
        raise SettingsError(findings)
    return Settings(chosen)


def read_address(text):
    """Read "IP:port".

    Args:
      text: The text.
    Returns:
      A pair of IP number and port.
    Raises:
      ValueError: If it is not an IP number and a port.
    """
    host, separator, port = text.rpartition(':')
    if not separator:
        raise ValueError('is not IP:port')
    ipaddress.IPv4Address(host)
    number = read_count(port)
    if number > _LARGEST_PORT:
        raise ValueError('the port is over 65535')
    return host, number


def read_count(text):
    """Read a whole number that is not negative.

    Args:
      text: The text.
    Raises:
      ValueError: If it is not one.
    """
    if not (text.isascii() and text.isdigit()):
        raise ValueError('is not a whole number')
    return int(text)


def read_name(text):
    """Read a name of lower case letters, digits and dashes.

    Args:
      text: The text.
    Raises:
      ValueError: If it is not one.
    """
    if not _NAME.fullmatch(text):
        raise ValueError('is not a name of a-z, 0-9 and dashes')
    return text


def read_flag(text):
    """Read "yes" or "no".

    Args:
      text: The text.
    Raises:
      ValueError: If it is neither.
    """
    if text not in {'yes', 'no'}:
        raise ValueError('is not yes or no')
    return text == 'yes'


def _find_text(setting, flags, environ):
    text = getattr(flags, setting.attribute, None)
    if text is not None:
        return f'--{setting.name}', text
    text = environ.get(setting.environment_name)
    if text is not None:
        return setting.environment_name, text
    return f'--{setting.name}', setting.default
