#!/bin/sh
# Builds the stand-ins of review/standins: they need nothing but Python's
# standard library, so they are only compiled, in a temporary folder.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import py_compile
import tempfile
from pathlib import Path

with tempfile.TemporaryDirectory() as folder:
    for source in [*Path('standins').glob('*.py'), *Path('.').glob('*/case.py')]:
        target = Path(folder) / f'{source.parent.name}-{source.name}c'
        py_compile.compile(str(source), cfile=str(target), doraise=True)
PY
