"""The exceptions of the project, and findings that are collected.

An exception stops one operation.  A finding is a value: a check gathers all
the findings it can make, each with its location, and reports them together.
"""

from http import HTTPStatus


class CrankchuteError(Exception):
    """The base of all exceptions of the project."""


class Finding:
    """One thing wrong with an input, and where it stands."""

    __slots__ = ('location', 'text')

    def __init__(self, location, text):
        """Create a finding.

        Args:
          location: A string that names the document, key or flag.
          text: A string that says what is wrong there.
        """
        self.location = location
        self.text = text

    def __str__(self):
        """Return the finding on one line."""
        return f'{self.location}: {self.text}'

    def __repr__(self):
        """Return the finding as it would be written in code."""
        return f'Finding({self.location!r}, {self.text!r})'


class FindingsError(CrankchuteError):
    """An input was refused whole; carries every finding."""

    def __init__(self, findings):
        """Create the exception.

        Args:
          findings: A sequence of Finding, at least one.
        """
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsError(FindingsError):
    """The flags and environment variables of a process are not valid."""


class ConfigError(FindingsError):
    """A published configuration is not valid."""


class StaleRevisionError(CrankchuteError):
    """A configuration older than the one in force was offered."""


class BackendError(CrankchuteError):
    """A call to a backend server failed.

    Attributes:
      sent: False if it is proved that no byte left for the backend.
      connection_lost: Whether the connection ended, and not by this side,
        before the answer was whole, a bool.
    """

    def __init__(self, text, *, sent, connection_lost=False):
        """Create the exception.

        Args:
          text: What happened.
          sent: False if it is proved that no byte left for the backend.
          connection_lost: See the class.
        """
        super().__init__(text)
        self.sent = sent
        self.connection_lost = connection_lost


class RequestRefused(CrankchuteError):
    """A request was refused before anything was dispatched for it."""

    def __init__(self, status, code, text, retry_after_ms=None):
        """Create the exception.

        Args:
          status: The HTTP status, an int.
          code: A short identifier for programs.
          text: A sentence for people.
          retry_after_ms: Milliseconds after which to ask again, or None if
            asking again does not help.
        """
        super().__init__(text)
        self.status = HTTPStatus(status)
        self.code = code
        self.text = text
        self.retry_after_ms = retry_after_ms


class BadKeyError(CrankchuteError):
    """The text of a request key cannot be read."""
