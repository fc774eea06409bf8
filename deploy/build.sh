#!/usr/bin/env bash
# Builds the platform's programs into target/: one bundle, split by role, so
# that a process loads only what its role needs.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target
npx --no-install esbuild platform/main.ts --bundle --splitting --minify \
  --platform=node --target=node20 --format=esm --outdir=target \
  --log-level=warning \
  --banner:js="import{createRequire as bundleCreateRequire}from'node:module';const require=bundleCreateRequire(import.meta.url);"
echo '{"type":"module"}' > target/package.json
