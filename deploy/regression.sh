#!/bin/sh
# Plays the days that count and the earlier ones in turn, each by its panel's name. The cores are to be free of all else.
#   deploy/regression.sh KIT [--quick]
set -eu
cd "$(dirname "$0")/.."
[ -d "${1:-}" ] || { echo "deploy/regression.sh: KIT: '${1:-}' is no folder; right would be the bench's kit" >&2; exit 2; }
kit=$1
quick=${2:-}
why="Regression over all panels in turn"
site=$kit/sites/liga-ljubljana.toml

table=$(mktemp)
trap 'rm -f "$table"' EXIT

# A panel's run is shown whole; its last figure goes into the table, which is printed at the end.
panel() {
    name=$1
    shift
    echo "== $name"
    said=$("$@" ${quick:+"$quick"} --why "$why: $name" 2>&1) || true
    echo "$said"
    figure=$(echo "$said" | grep -E "score of the real nodes|^quick estimate|^score|^site " | tail -1)
    broken=$(echo "$said" | grep -c BROKEN || true)
    printf '%-22s | %s | %s broken\n' "$name" "${figure:-no figure}" "$broken" >>"$table"
}

panel operators "$kit/more/ops/bin/lbreal" score "$site"
panel earlier "$kit/more/ops/bin/lbreal" score "$site" --panel later
panel fleet "$kit/more/bin/lbreal" score "$site"
for simulated in bogota-main store-services liga-ljubljana liga-ljubljana-later; do
    panel "$simulated" "$kit/more/move/bin/lbsim" score "$kit/more/move/sites/$simulated.toml"
done

echo "== all panels"
cat "$table"
