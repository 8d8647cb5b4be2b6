#!/usr/bin/env bash
# Prepares the stand-ins that the script of case 6 starts. They are Python 3 without packages, so nothing is
# built; this checks that each file can be read by the python3 of this machine.
set -euo pipefail
cd "$(dirname "$0")"
python3 - standins-2/*.py [0-9]*/case.py <<'PYTHON'
import ast
import sys

if sys.version_info < (3, 8):
    sys.exit("python3 is older than 3.8")
for path in sys.argv[1:]:
    with open(path) as source:
        ast.parse(source.read(), path)
PYTHON
