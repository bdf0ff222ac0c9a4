#!/bin/sh
# Builds the scripts' programs of the second review, with their stand-ins, into target/review-2/.
# They use the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for case in review/7 review/8 review/growth; do
    if [ -f "$case/case.rs" ]; then
        rustc --edition 2024 -O "$case/case.rs" -o "target/review-2/case-$(basename "$case")"
    fi
done
