#!/usr/bin/env bash
# Checks the scripts' stand-ins. They are plain modules that use Node.js alone, so
# nothing has to be bundled or installed.
set -e
cd "$(dirname "$0")/.."
for file in review/lib/*.mjs review/*/case.mjs; do
  node --check "$file"
done
