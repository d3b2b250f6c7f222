#!/bin/sh
# Plays the standing test, its short days, other customers, the other days that count and the earlier ones in turn, each by
# its panel's name. The cores are to be free of all else.
#   deploy/regression.sh KIT [--quick]
# Ends with 1 where any panel tells of a broken rule, a fault or a failed gate, or brought no figure; 2 is a wrong call.
set -eu
cd "$(dirname "$0")/.."
[ -d "${1:-}" ] || { echo "deploy/regression.sh: KIT: '${1:-}' is no folder; right would be the bench's kit" >&2; exit 2; }
kit=$1
quick=${2:-}
case $quick in
    '' | --quick) ;;
    *) echo "deploy/regression.sh: '$quick': right would be --quick or nothing" >&2; exit 2 ;;
esac
why="Regression over all panels in turn"
site=$kit/sites/liga-ljubljana.toml

table=$(mktemp)
trap 'rm -f "$table"' EXIT
verdict=0

# The other customer's deployment and our own variants count by their gate alone; they are always played quick.
others="$kit/more/mass/other/perth-convert.toml deploy/sites/narva-desk/narva-desk.toml deploy/sites/oulu-render/oulu-render.toml"

# A panel's run is shown whole; its last figure goes into the table, which is printed at the end. What it says of rules and
# gates decides the verdict: the score does not save a day that broke one.
panel() {
    name=$1
    shift
    echo "== $name"
    said=$("$@" --why "$why: $name" 2>&1) && ended=0 || ended=$?
    echo "$said"
    figure=$(echo "$said" | grep -E "score of the real nodes|^quick estimate|^score|^site " | tail -1 || true)
    faults=$(echo "$said" | grep -oE "BROKEN.*|FAULT.*|GATE failed.*" | cut -c1-120 | sort -u | paste -sd ';' - || true)
    [ -n "$figure" ] || faults="${faults:+$faults; }no figure"
    [ "$ended" -eq 0 ] || faults="${faults:+$faults; }ended with $ended"
    [ -z "$faults" ] || verdict=1
    printf '%-24s | %s | %s\n' "$name" "${figure:--}" "${faults:-rules kept}" >>"$table"
}

panel standing "$kit/more/mass/bin/lbreal" score "$site" ${quick:+"$quick"}
for seed in 1 13 25; do
    for other in "$site" $others; do
        panel "brink-$(basename "$other" .toml)-$seed" "$kit/more/mass/bin/lbreal" score "$other" --panel brink --seed "$seed"
    done
done
for other in $others; do
    panel "$(basename "$other" .toml)" "$kit/more/mass/bin/lbreal" score "$other" --quick
done
panel operators "$kit/more/ops/bin/lbreal" score "$site" ${quick:+"$quick"}
panel earlier "$kit/more/ops/bin/lbreal" score "$site" --panel later ${quick:+"$quick"}
panel fleet "$kit/more/bin/lbreal" score "$site" ${quick:+"$quick"}
for simulated in bogota-main store-services liga-ljubljana liga-ljubljana-later; do
    panel "$simulated" "$kit/more/move/bin/lbsim" score "$kit/more/move/sites/$simulated.toml" ${quick:+"$quick"}
done

echo "== all panels"
cat "$table"
[ "$verdict" -eq 0 ] || echo "deploy/regression.sh: a panel broke a rule, failed its gate or brought no figure" >&2
exit "$verdict"
