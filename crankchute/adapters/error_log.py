"""Log lines about errors that code without I/O has caught."""

from traceback import format_tb

from crankchute.adapters.log import log_change
from crankchute.ports.errors import error_reporter


@error_reporter
def log_error(exc, **fields):
    """Log a caught exception.

    Args:
      exc: The exception.
      fields: What it concerns.
    """
    log_change(
        'internal_error',
        failed=True,
        error=repr(exc),
        stack=format_tb(exc.__traceback__),
        **fields,
    )
