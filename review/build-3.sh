#!/bin/sh
# Checks and builds the stand-ins of the cases 11 to 15. They are Python of the
# standard library, so building compiles them to a folder that is thrown away.
set -e
cd "$(dirname "$0")"
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
for file in support3.py 1[1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys
py_compile.compile(sys.argv[1], cfile=sys.argv[2], doraise=True)' \
        "$file" "$folder/out.pyc"
done
