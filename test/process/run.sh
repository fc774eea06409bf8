#!/usr/bin/env bash
# Failure tests on real processes: starts every program under supervision,
# runs the scenarios against them, and stops what it started.
set -u
cd "$(dirname "$0")/../.."
folder=${1:-run/process}
rm -rf "$folder"
mkdir -p "$folder"
node dist/test/process/prepare.js "$folder" </dev/null &
reservation=$!
trap 'kill "$reservation" 2>/dev/null' EXIT
while [ ! -e "$folder/programs" ]; do
  kill -0 "$reservation" 2>/dev/null || exit 1
  sleep 0.05
done
supervisors=()
while read -r name command; do
  # shellcheck disable=SC2086 # the command is a list of plain words
  tools/supervise "$folder" "$name" $command </dev/null &
  supervisors+=($!)
done <"$folder/programs"
node dist/test/process/scenarios.js "$folder"
result=$?
touch "$folder/stop"
for file in "$folder"/*.pid; do
  kill -CONT "$(cat "$file")" 2>/dev/null
  kill -TERM "$(cat "$file")" 2>/dev/null
done
wait "${supervisors[@]}"
exit $result
