#!/bin/sh
# Checks that the stand-ins of cases 6 to 10 can run. They are Python: those of
# the project are in wigeonrouter/platform, the shared rest is support2.py.
# Needs the build of the deploy file, which puts the libraries in target/deps.
set -e
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:.:review python3 - <<'END'
import ast
import pathlib

import support2  # Imports the project's stand-ins.

for case in sorted(pathlib.Path("review").glob("*/case.py")):
    ast.parse(case.read_text(), str(case))
END
