#!/usr/bin/env bash
# The stand-ins of the cases 11 to 15 are plain modules for Node and need no build;
# this checks that Node can read them.
set -eu
cd "$(dirname "$0")"
for file in standins-3/*.mjs 1[1-5]/*.mjs; do
  node --check "$file"
done
