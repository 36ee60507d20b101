#!/bin/sh
# Checks and builds the stand-ins of the cases 11 to 15: the small ones beside
# this file and those of the project, which case 11 uses. All are Python, so
# building compiles them into a folder that is thrown away. The build of the
# deploy file comes first; it installs what the project's stand-ins import.
set -e
cd "$(dirname "$0")/.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in review/support2.py review/support3.py review/1[1-5]/*.py \
    wigeonrouter/platform/testing.py wigeonrouter/platform/_emula*.py \
    wigeonrouter/platform/_surplus_responses.py; do
    python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$file" "$folder/out.pyc"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=target/deps:. python3 -c '
from wigeonrouter.platform import _emulator'
