#!/bin/sh
# Builds what the scripts of review/4 to review/6 start: the gateway, as the deploy file
# does. Their stand-ins are plain JavaScript, which is only checked.
set -e
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent --no-audit --no-fund
node scripts/build.mjs --platform
for file in review/lib-2/*.mjs review/4/run.mjs review/5/run.mjs review/6/run.mjs; do
  node --check "$file"
done
