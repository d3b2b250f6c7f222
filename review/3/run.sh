#!/bin/sh
# Exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
CASE=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$CASE/../.." || exit 2
driver=target/review/case-$(basename "$CASE")
if [ ! -x "$driver" ] || [ ! -x target/release/dunlincleat-sidecar ]; then
    echo "not built: the deploy file's build, then review/build.sh" >&2
    exit 2
fi
RUN=$(sed -n 's/^run *= *"\([^"]*\)".*$/\1/p' deploy/balancer.toml)
WORK=$(mktemp -d) || exit 2
trap 'rm -rf "$WORK"' EXIT
export CASE RUN WORK
timeout -k 2 115 "$driver"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
