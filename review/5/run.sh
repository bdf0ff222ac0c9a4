#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case=target/review/case-$(basename "$here")
[ -x "$case" ] && [ -x target/release/hemlockfall ] || { echo "build first: review/build.sh and the build of the deploy file"; exit 2; }
exec timeout 118 "$case" "$here"
