#!/bin/sh
# Builds the stand-ins and drivers of the cases. The sidecar is built by `build` of deploy/balancer.toml. No network, no
# packages: the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[0-9]*; do
    [ -f "$case/driver.rs" ] || continue
    rustc --edition 2024 -O -o "target/review/case-$(basename "$case")" "$case/driver.rs"
done
