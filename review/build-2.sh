#!/usr/bin/env bash
# The stand-ins of the second review are Python programs (review/standins-2); checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast
import sys
assert sys.version_info >= (3, 11), "Python 3.11 is needed"
for name in ["standins-2/fleet.py"]:
    ast.parse(open(name, encoding="utf-8").read(), name)
PY
