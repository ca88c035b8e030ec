"""Entry point of an instance on the deployment platform."""

import sys

from crankchute.platform.__main__ import main

sys.exit(main())
