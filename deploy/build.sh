#!/bin/sh
# Builds what deploy/system.toml runs, all of it under target/: the libraries,
# and a compiled copy of the program, so that a process that is started again
# after a kill does not compile it anew.
set -eu
if ! [ target/deps -nt deploy/requirements.txt ]; then
  python3 -m pip install -q -U --target target/deps -r deploy/requirements.txt
  touch target/deps
fi
rm -rf target/app
mkdir -p target/app
cp -r crankchute target/app/
cp deploy/start.py target/app/
python3 -m compileall -q --invalidation-mode unchecked-hash target/app
