#!/usr/bin/env bash
# Starts a deployment of examples/ on this machine, sends its example chats
# and calls, prints what came of them, and stops everything it started.
#
# Usage: scripts/demo.sh DEPLOYMENT [up]
#
# DEPLOYMENT is a name under examples/ or the path of such a folder. With "up"
# nothing is sent and the deployment runs until Ctrl-C, so that operators'
# commands and load profiles can be tried on it. Else the last line on the
# standard output is one JSON object, and the exit status is 0 only if every
# answer was whole and the payment ran once.
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=${1:-guild}
mode=${2:-demo}
folder=$deployment
[[ -d $folder ]] || folder=examples/$deployment
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
# It is a plain command, since the id of a function in the background is that
# of a subshell, and stopping this would leave the program running.
start() {
  local name=$1 program=$2
  shift 2
  "$bin/python" -m "mothpass.programs.$program" "$@" >"$logs/$name.log" 2>&1 &
  pids+=($!)
}

any_alive() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null && return 0
  done
  return 1
}

all_alive() {
  local pid
  for pid in "${pids[@]}"; do
    kill -0 "$pid" 2>/dev/null || return 1
  done
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
    # One that outlives its time to stop is killed.
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
  if ! all_alive; then
    echo "a process has ended" >&2
    exit 1
  fi
  if ((SECONDS >= deadline)); then
    echo "the catalogue was not accepted" >&2
    exit 1
  fi
  sleep 0.3
done
cat "$logs/apply.log"

if [[ $mode == up ]]; then
  echo "up; press Ctrl-C to stop"
  # Returns when the first process ends, which none should.
  wait -n "${pids[@]}" || true
  echo "a process has ended" >&2
  exit 1
fi
run mothpass_load demo "$folder"
