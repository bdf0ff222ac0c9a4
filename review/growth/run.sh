#!/bin/sh
# Runs the measurement; see about.txt. Exits with 1 if requests were lost, 0 if not, 2 if it couldn't run.
# With TROUBLE=0 it does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
number=$(basename "$folder")
cd "$folder/../.." || exit 2
PIDS=$(mktemp) || exit 2
export PIDS
"target/review-2/case-$number" "review/$number/record.txt" &
script=$!
# shellcheck disable=SC2046
trap 'kill -9 "$script" $(cat "$PIDS") 2>/dev/null; rm -f "$PIDS"; exit 2' TERM INT HUP
wait "$script"
status=$?
rm -f "$PIDS"
exit $status
