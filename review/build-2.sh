#!/bin/sh
# The stand-ins of review/6 and later are Python programs without dependencies: nothing is compiled. This
# checks that they can be run.
cd "$(dirname "$0")" || exit 1
python3 -B - standin-2/world.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py <<'CHECK'
import ast
import sys

if sys.version_info < (3, 9):
    sys.exit("python3 (3.9 or newer) is needed")
for path in sys.argv[1:]:
    with open(path) as file:
        ast.parse(file.read(), path)
CHECK
