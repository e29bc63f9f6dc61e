#!/bin/sh
# Builds the stand-ins of review/. All of them are Python programs that need only its standard library, so there is
# nothing to compile: this checks that they can be run.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
PYTHONDONTWRITEBYTECODE=1 python3 - lib/*.py [0-9]*/case.py <<'PY'
import ast, pathlib, sys
for path in sys.argv[1:]:
    ast.parse(pathlib.Path(path).read_text(), path)
PY
