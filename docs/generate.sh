#!/usr/bin/env bash
# Rewrites docs/errors.md and the generated tables of docs/OPERATIONS.md from the registry.
set -euo pipefail
cd "$(dirname "$0")/.."

run() { cargo run --quiet --locked --package hemlockfall -- "$@"; }

errors=$(run errors --format markdown)
printf '%s\n' "$errors" > docs/errors.md

# The command prints the settings table, an empty line and the metrics table.
tables=$(run settings --format markdown)
export SETTINGS="${tables%%$'\n\n'*}" METRICS="${tables#*$'\n\n'}"
page=$(awk '
  /^<!-- (settings|metrics): end -->$/ { skipping = 0 }
  !skipping { print }
  /^<!-- settings: begin -->$/ { print ENVIRON["SETTINGS"]; skipping = 1 }
  /^<!-- metrics: begin -->$/ { print ENVIRON["METRICS"]; skipping = 1 }
' docs/OPERATIONS.md)
printf '%s\n' "$page" > docs/OPERATIONS.md
