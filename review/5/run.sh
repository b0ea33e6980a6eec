#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -e "target/review/$(basename "$folder").js" ] || { echo 'run review/build.sh first' >&2; exit 2; }
exec node "target/review/$(basename "$folder").js" "$folder"
