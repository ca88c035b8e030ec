"""Entry point of `python -m crankchute`."""

import sys

from crankchute.commands.main import main

sys.exit(main())
