#!/usr/bin/env bash
# Checks the stand-ins and cases of the second review. They need no build: they
# are plain JavaScript on Node's own modules, and start nothing else but the
# programs of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-2/*.mjs 6/*.mjs 7/*.mjs 8/*.mjs 9/*.mjs 10/*.mjs; do
  node --check "$file"
done
