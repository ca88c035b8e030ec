"""Logs by eliot: one line for each change of state, none for requests."""

import sys

import eliot


def start_log(stream=None):
    """Write logs as JSON lines.

    Args:
      stream: A text stream; standard error if None.
    """
    eliot.to_file(stream or sys.stderr)


def log_change(kind, **fields):
    """Log a change of state.

    Args:
      kind: What changed, such as "config_in_force".
      fields: What a person would want to know, as JSON values.
    """
    eliot.log_message(message_type=f'crankchute:{kind}', **fields)
