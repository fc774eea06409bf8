#!/usr/bin/env bash
# Failure tests on real processes: starts every program under supervision,
# runs the scenarios against them, and stops what it started.
set -u
cd "$(dirname "$0")/../.."
folder=${1:-run/process}
rm -rf "$folder"
mkdir -p "$folder"
node dist/test/process/prepare.js "$folder" || exit 1
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
