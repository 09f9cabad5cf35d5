#!/bin/sh
# Prepares the stand-ins of review/11 to review/14: one Python module, which needs Python 3.11 and nothing but its standard library.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))' || { echo "review/build-3.sh: Python 3.11 or later is needed" >&2; exit 1; }
for file in standins-3/*.py 1[1-5]/case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/bin/tanagertally-entry || { echo "review/build-3.sh: build the deploy file first" >&2; exit 1; }
