#!/usr/bin/env bash
# Starts a deployment of examples/ on this machine, sends its example chats
# and calls, prints what came of them, and stops everything it started.
#
# Usage: scripts/demo.sh guild|cellarwatch
#
# The last line on the standard output is one JSON object. The exit status is
# 0 only if every answer was whole and the payment ran once.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-guild}
folder=examples/$deployment
bin=${BIN:-.venv/bin}
start_timeout_s=15
stop_timeout_s=10
pids=()
logs=$(mktemp -d)

if [[ ! -f $folder/fleet.json ]]; then
  echo "no deployment named $deployment" >&2
  exit 2
fi

run() {
  "$bin/python" -m "mothpass.programs.$1" "${@:2}"
}

# Starts a program in the background; its output goes to a log of its name.
start() {
  local name=$1
  shift
  run "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

any_alive() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null && return 0
  done
  return 1
}

show_logs() {
  local log
  for log in "$logs"/*.log; do
    echo "== ${log##*/}, last lines" >&2
    tail -n 5 "$log" >&2
  done
}

stop_all() {
  local status=$? deadline=$((SECONDS + stop_timeout_s))
  trap - EXIT INT TERM
  if ((status != 0)); then
    show_logs
  fi
  if ((${#pids[@]} > 0)); then
    kill -TERM "${pids[@]}" 2>/dev/null || true
    while any_alive && ((SECONDS < deadline)); do
      sleep 0.1
    done
    kill -KILL "${pids[@]}" 2>/dev/null || true
    wait "${pids[@]}" 2>/dev/null || true
  fi
  rm -rf "$logs"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

echo "starting the stand-ins and daemons of $deployment"
for config in "$folder"/standins/*.json; do
  name=$(basename "$config" .json)
  start "$name" mothpass_standin "${name%%-*}" --config "$config"
done
for settings in "$folder"/daemons/*.json; do
  name=$(basename "$settings" .json)
  start "$name" mothpassd "$settings"
done

# The first catalogue is accepted once a daemon has read the empty store.
export MOTHPASS_CONFIG=$folder/operators.json
deadline=$((SECONDS + start_timeout_s))
until run mothpassctl apply "$folder/catalogue.json" --base 0 \
  >"$logs/apply.log" 2>&1; do
  if ((SECONDS >= deadline)); then
    echo "the catalogue was not accepted" >&2
    exit 1
  fi
  sleep 0.3
done
cat "$logs/apply.log"

run mothpass_load demo "$folder"
