#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the script cases 6 to 10 into target/review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."
for driver in review/6/case.ts review/7/case.ts review/8/case.ts review/9/case.ts review/10/case.ts; do
  [ -e "$driver" ] || continue
  folder=$(basename "$(dirname "$driver")")
  node_modules/.bin/esbuild "$driver" --bundle --platform=node --target=node20 --log-level=warning \
    --outfile="target/review-2/$folder.js"
done
