#!/usr/bin/env bash
# Builds platform/main.ts into target/: one bundle, split into chunks, so that a
# process loads only the code of its role.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target
npx --no-install esbuild platform/main.ts --bundle --splitting --minify \
  --platform=node --target=node20 --format=esm --outdir=target \
  --log-level=warning \
  --banner:js="import{createRequire as bundleCreateRequire}from'node:module';const require=bundleCreateRequire(import.meta.url);"
echo '{"type":"module"}' > target/package.json
