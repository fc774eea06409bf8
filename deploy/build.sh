#!/usr/bin/env bash
# Builds platform/main.ts into target/: one bundle, split into chunks, so that a
# process loads only the code of its role. The old files stay until the new ones
# are complete: a process that starts meanwhile finds either.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/next
mkdir -p target/next
npx --no-install esbuild platform/main.ts --bundle --splitting --minify \
  --platform=node --target=node20 --format=esm --outdir=target/next \
  --log-level=warning \
  --banner:js="import{createRequire as bundleCreateRequire}from'node:module';const require=bundleCreateRequire(import.meta.url);"
echo '{"type":"module"}' > target/next/package.json
cd target
built=$(ls next)
mv -f next/* .
rmdir next
for file in *; do
  grep -qxF -- "$file" <<< "$built" || rm -rf -- "$file"
done
