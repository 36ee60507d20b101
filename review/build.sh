#!/usr/bin/env bash
# Builds the stand-ins of the scripts: they are Python and are only compiled.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review wigeonrouter
PYTHONPATH="$PWD:$PWD/review:target/deps" python3 -c "import harness"
