#!/bin/sh
# Builds the stand-ins and drivers of the scripts of cases 11 to 15 into target/review-3/.
set -e
cd "$(dirname "$0")/.."
for entry in review/1[1-5]/*.ts; do
  [ -e "$entry" ] || continue
  name="$(basename "$(dirname "$entry")")"
  node_modules/.bin/esbuild "$entry" --bundle --platform=node --target=node20 \
    --outfile="target/review-3/$name.js" --log-level=warning
done
