#!/usr/bin/env bash
# Builds the stand-ins of the cases; they need Python and its standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins
PYTHONPATH=target/deps:. python3 -c "import uvloop, msgspec, review.standins.case"
