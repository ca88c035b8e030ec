#!/bin/sh
# Prepares the stand-ins of the cases.  They are Python programs that need the
# standard library only, so there is nothing to install.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib [1-5]
