"""Faster startup by skipping the import of `pkg_resources`.

circuits uses `pkg_resources` only to declare a namespace package, and does
without it if it is missing.  Importing it takes a large part of the startup,
which delays the recovery of a process that was killed.
"""

import sys

_SLOW_MODULE = 'pkg_resources'


def skip_slow_imports():
    """Make the import of `pkg_resources` fail; call before importing circuits."""
    sys.modules.setdefault(_SLOW_MODULE, None)
