#!/usr/bin/env bash
# Runs every command of a page as it is written, one after the other, and says
# which failed. Commands are the indented lines that start with a program's
# name or "export". A deployment must be up: scripts/demo.sh guild up
#
# Usage: scripts/run_page.sh docs/OPERATIONS.md
set -uo pipefail
cd "$(dirname "$0")/.."

page=${1:?name of a page}
bin=${BIN:-.venv/bin}
failed=0

mothpassctl() {
  "$bin/python" -m mothpass.programs.mothpassctl "$@"
}

mothpass-load() {
  "$bin/python" -m mothpass.programs.mothpass_load "$@"
}

while IFS= read -r line; do
  echo "\$ $line"
  eval "$line"
  status=$?
  if ((status != 0)); then
    echo "FAILED with $status: $line"
    failed=$((failed + 1))
  fi
done < <(sed -nE 's/^    ((export|mothpassctl|mothpass-load) .*)$/\1/p' "$page")

echo "$failed failed"
((failed == 0))
