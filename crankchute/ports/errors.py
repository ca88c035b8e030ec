"""Reports of errors that code without I/O has caught."""

_reporters = []


def error_reporter(function):
    """Register a function that reports caught errors.

    Args:
      function: Takes the exception, and what it concerns as keywords.
    Returns:
      The function.
    """
    _reporters.append(function)
    return function


def report_error(exc, **fields):
    """Report an exception that was caught.

    Args:
      exc: The exception.
      fields: What it concerns, such as the id of a request.
    """
    for report in _reporters:
        report(exc, **fields)
