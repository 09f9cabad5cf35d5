#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 and later (review/standins-2). They are Python without packages, so nothing is compiled; this
# checks that the interpreter is there and reads them, and that the build of the deploy file has left the program that they start.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import ast
import pathlib
import sys
import tomllib

assert sys.version_info >= (3, 11), "Python 3.11 or later is needed"
for path in sorted(pathlib.Path("review").glob("standins-2/*.py")) + sorted(pathlib.Path("review").glob("[0-9]*/case.py")):
    ast.parse(path.read_text(), str(path))
program = tomllib.loads(pathlib.Path("deploy/system.toml").read_text())["roles"]["entry"]["run"].split()[0]
assert pathlib.Path(program).is_file(), program + " is missing: run the build of deploy/system.toml first"
PYTHON
echo "stand-ins are ready"
