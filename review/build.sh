#!/usr/bin/env bash
# Checks the stand-ins and the cases, which need no build: they are plain
# JavaScript on Node's own modules.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/*.mjs; do
  node --check "$file"
done
