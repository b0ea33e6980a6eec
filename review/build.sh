#!/usr/bin/env bash
# Builds the stand-ins and the drivers of all script cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for driver in review/[1-5]/case.ts; do
  [ -e "$driver" ] || continue
  folder=$(basename "$(dirname "$driver")")
  node_modules/.bin/esbuild "$driver" --bundle --platform=node --target=node20 --log-level=warning \
    --outfile="target/review/$folder.js"
done
