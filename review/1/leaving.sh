#!/usr/bin/env bash
# The same fault by another disruption; exit codes and TROUBLE=0 as in run.sh.
cd "$(dirname "$0")" || exit 2
exec node leaving.mjs
