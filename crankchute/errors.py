"""Exceptions of the project, and findings of validation.

A validation collects all findings, each with its location, and then raises a
single exception that carries them.
"""

from http import HTTPStatus


class CrankchuteError(Exception):
    """Base class of the exceptions of the project."""


class Finding:
    """One error in an input, with its location."""

    __slots__ = ('location', 'text')

    def __init__(self, location, text):
        """Create a finding.

        Args:
          location: The document, key or flag, a string.
          text: The error, a string.
        """
        self.location = location
        self.text = text

    def __str__(self):
        """Format the finding as one line."""
        return f'{self.location}: {self.text}'

    def __repr__(self):
        """Format the finding as Python code."""
        return f'Finding({self.location!r}, {self.text!r})'


class FindingsError(CrankchuteError):
    """An input is invalid; carries all findings."""

    def __init__(self, findings):
        """Create the exception.

        Args:
          findings: A sequence of Finding, at least one.
        """
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class SettingsError(FindingsError):
    """The flags or environment variables of a process are invalid."""


class ConfigError(FindingsError):
    """A published configuration is invalid."""


class StaleRevisionError(CrankchuteError):
    """A configuration is older than the active one."""


class BackendError(CrankchuteError):
    """A call to a backend server failed.

    Attributes:
      sent: False if certainly no byte was sent to the server, a bool.
      connection_lost: Whether the connection was closed, but not by this process, before
        the response was complete, a bool.
    """

    def __init__(self, text, *, sent, connection_lost=False):
        """Create the exception.

        Args:
          text: A description of the failure.
          sent: See the class.
          connection_lost: See the class.
        """
        super().__init__(text)
        self.sent = sent
        self.connection_lost = connection_lost


class RequestRefused(CrankchuteError):
    """A request was refused before any part of it was dispatched."""

    def __init__(self, status, code, text, retry_after_ms=None):
        """Create the exception.

        Args:
          status: The HTTP status, an int.
          code: A short identifier for programs.
          text: A sentence for people.
          retry_after_ms: Milliseconds after which to retry, or None if a
            retry cannot succeed.
        """
        super().__init__(text)
        self.status = HTTPStatus(status)
        self.code = code
        self.text = text
        self.retry_after_ms = retry_after_ms


class BadKeyError(CrankchuteError):
    """A request key cannot be parsed."""
