#!/bin/sh
# Plays this case. 1: the rule was broken, 0: it held, 2: the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
case=9
for program in target/release/dunlincleat-sidecar "target/review-2/case-$case"; do
    [ -x "$program" ] || { echo "$program is missing: build by deploy/balancer.toml, then review/build-2.sh" >&2; exit 2; }
done
exec "target/review-2/case-$case"
