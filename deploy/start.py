"""Starts an instance on the users' platform from the built copy."""

import sys

from crankchute.platform.__main__ import main

sys.exit(main())
