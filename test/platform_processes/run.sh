#!/usr/bin/env bash
# Starts the platform's programs under supervision, plays against them, and
# stops what it started:
#
#   run.sh FOLDER PLAY [ARGUMENT...]
#
# PLAY is a program of this folder, and decides on the layout with its first
# argument. TARGET is the folder of the built programs.
set -u
cd "$(dirname "$0")/../.."
folder=$1
play=$2
shift 2
rm -rf "$folder"
mkdir -p "$folder"
folder=$(cd "$folder" && pwd)
node dist/test/platform_processes/prepare.js "$folder" "${TARGET:-target}" \
  "$play" "$@" || exit 2
supervisors=()
while read -r name command; do
  # shellcheck disable=SC2086 # the command is a list of plain words
  tools/supervise "$folder" "$name" $command </dev/null 2>/dev/null &
  supervisors+=($!)
  echo $! >"$folder/$name.supervisor"
done <"$folder/programs"
node "dist/test/platform_processes/$play.js" "$folder" "$@"
result=$?
touch "$folder/stop"
# A play may have started supervisors of its own, which aren't waited for.
for _ in {1..100}; do
  files=("$folder"/*.pid)
  [ -e "${files[0]}" ] || break
  for file in "${files[@]}"; do
    pid=$(cat "$file" 2>/dev/null) || continue
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  sleep 0.05
done
wait "${supervisors[@]}" 2>/dev/null
exit $result
