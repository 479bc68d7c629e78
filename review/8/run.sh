#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program="target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x target/release/peatdeck-edge ] || { echo "build first"; exit 2; }
set -m # each background job is a process group of its own
"$program" "$folder" & run=$!
(sleep 117; kill -KILL -- "-$run") 2>/dev/null & limit=$!
wait "$run"; code=$?
kill -KILL -- "-$limit" "-$run" 2>/dev/null
[ "$code" -le 1 ] && exit "$code"
exit 2
