#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
export PYTHONPATH=target/deps:. PYTHONDONTWRITEBYTECODE=1
timeout --signal=INT 117 python3 "$here/case.py"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
