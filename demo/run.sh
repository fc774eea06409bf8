#!/usr/bin/env bash
# The demo: starts three instances, workers and backend servers on loopback,
# runs the demo's scenario against them, and stops everything gracefully.
# Exits 0 only if every check passed and every program exited with 0.
set -u
cd "$(dirname "$0")/.."
folder=run/demo
rm -rf "$folder"
mkdir -p "$folder/processes"
pids=()
names=()

start() {
  local name=$1
  shift
  "$@" >"$folder/processes/$name.log" 2>&1 &
  pids+=($!)
  names+=("$name")
}

stop_all() {
  local failed=0 index
  for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
    kill -TERM "${pids[$index]}" 2>/dev/null
  done
  for index in "${!pids[@]}"; do
    wait "${pids[$index]}"
    local code=$?
    if [ "$code" -ne 0 ]; then
      echo "  ${names[$index]} exited with code $code" >&2
      failed=1
    fi
  done
  return $failed
}

east=127.0.0.1:7101,127.0.0.1:7102
west=127.0.0.1:7103

for instance in east-1 east-2 west-1; do
  start "$instance" node dist/src/programs/sesamethreadd.js \
    --settings "examples/demo/settings/$instance.toml"
done
for rack in east-rack-1 east-rack-2; do
  for number in 1 2 3 4; do
    start "$rack-w$number" node dist/standins/worker/main.js \
      --id "$rack-w$number" --rack "$rack" --instances "$east" \
      --memory-bytes 68719476736
  done
done
for number in 1 2 3 4; do
  start "west-rack-1-w$number" node dist/standins/worker/main.js \
    --id "west-rack-1-w$number" --rack west-rack-1 --instances "$west" \
    --memory-bytes 68719476736
done
for number in 1 2; do
  start "east-server-$number" node dist/standins/backend_server/main.js \
    --id "east-server-$number" --service clearance --data-centre east \
    --announce-to "$east" --seed "$number"
done
start west-server-1 node dist/standins/backend_server/main.js \
  --id west-server-1 --service clearance --data-centre west \
  --announce-to "$west" --seed 3

node dist/demo/demo.js
scenario=$?
echo "stopping everything gracefully"
stop_all
stopping=$?
if [ "$scenario" -eq 0 ] && [ "$stopping" -eq 0 ]; then
  echo "every check passed, and all ${#pids[@]} programs exited with 0"
  exit 0
fi
echo "the demo failed; logs are in $folder/processes" >&2
exit 1
