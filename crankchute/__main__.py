"""Lets `python -m crankchute` run the command line."""

import sys

from crankchute.commands.main import main

sys.exit(main())
