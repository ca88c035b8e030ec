"""A quicker start: called before anything of circuits is imported.

circuits declares its namespace through `pkg_resources`, whose import takes a
quarter of the start of a process (docs/MEASUREMENTS.md), and does without it
where it is missing.  A process that starts after a kill is missed by callers
for that long.
"""

import sys

_SLOW_MODULE = 'pkg_resources'


def skip_slow_imports():
    """Let circuits find that `pkg_resources` is missing."""
    sys.modules.setdefault(_SLOW_MODULE, None)
