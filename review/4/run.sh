#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD:$PWD/review:target/deps" timeout -k 5 118 \
    python3 review/4/case.py
code=$?
if [ "$code" -gt 2 ]; then exit 2; fi
exit "$code"
