#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. Needs the Rust toolchain alone; no registry, no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review-2 || exit 2
for case in review/6 review/7 review/8 review/9 review/10; do
    [ -f "$case/case.rs" ] || continue
    "${RUSTC:-rustc}" --edition 2021 -O -o "target/review-2/case-$(basename "$case")" "$case/case.rs" || exit 2
done
