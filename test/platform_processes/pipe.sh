#!/usr/bin/env bash
# Lets a program log into a named pipe, or reads the pipe:
#
#   pipe.sh read PIPE
#   pipe.sh blocking|nonblocking PIPE COMMAND...
mode=$1
pipe=$2
shift 2
[ -p "$pipe" ] || mkfifo "$pipe" 2>/dev/null
if [ "$mode" = read ]; then
  exec cat "$pipe"
fi
exec 9>"$pipe"
if [ "$mode" = nonblocking ]; then
  node dist/test/platform_processes/nonblocking.js 9 >/dev/null
fi
exec "$@" >&9 9>&-
