#!/usr/bin/env bash
# Starts the platform's programs under supervision, plays against them, and
# stops what it started:
#
#   run.sh FOLDER PLAY [ARGUMENT...]
#
# PLAY is a program of this folder. TARGET is the folder of the built programs.
set -u
cd "$(dirname "$0")/../.."
folder=$1
play=$2
shift 2
rm -rf "$folder"
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
node dist/test/platform_processes/prepare.js "$folder" "${TARGET:-target}" || exit 2
supervisors=()
while read -r name command; do
  # shellcheck disable=SC2086 # the command is a list of plain words
  tools/supervise "$folder" "$name" $command </dev/null 2>/dev/null &
  supervisors+=($!)
done <"$folder/programs"
node "dist/test/platform_processes/$play.js" "$folder" "$@"
result=$?
touch "$folder/stop"
for file in "$folder"/*.pid; do
  kill -CONT "$(cat "$file")" 2>/dev/null
  kill -KILL "$(cat "$file")" 2>/dev/null
done
wait "${supervisors[@]}" 2>/dev/null
exit $result
