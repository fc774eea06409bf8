#!/usr/bin/env bash
# Builds the program of each role into target/, each with only the code that it
# uses: chunks that roles share would hold what any of them uses. The old files
# stay until the new ones are complete: a process that starts meanwhile finds
# either.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf target/next
mkdir -p target/next
npx --no-install esbuild platform/door.ts platform/core.ts --bundle --minify \
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
