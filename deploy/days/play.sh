#!/usr/bin/env bash
# Plays the days of days.txt on a site: one line a day, and a failure if any breaks a rule.
# usage: play.sh BENCH SITE [NAME-PATTERN]
#   BENCH  the platform's bench program
#   SITE   a site file
#   JOBS   days at a time (4)
set -euo pipefail
bench=$1
site=$2
pattern=${3:-.}
here=$(dirname "$0")
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
# The first class of a kind in the site file, or the last one.
class() {
    grep -o "name = \"[^\"]*\", aim_ms.*" "$site" | grep "kind = \"$1\"" | sed 's/name = "\([^"]*\)".*/\1/' | "$2" -n 1
}
named() {
    sed "s/@stream/$(class stream head)/; s/@chat/$(class stream tail)/; s/@once/$(class unsafe head)/; s/@safe/$(class safe head)/"
}
number=0
while IFS='|' read -r name plan faults closing; do
    name=$(echo "$name" | tr -d ' ')
    case "$name" in ''|'#'*) continue ;; esac
    [[ "$name" =~ $pattern ]] || continue
    number=$((number + 1))
    {
        echo "name = \"$name\""
        echo "seed = $((1000 + ${SEED:-0} + number))"
        echo "plan = [ $plan ]"
        echo "faults = [ $faults ]"
        [[ -z "${closing// /}" ]] || echo "closing = $closing"
    } | named > "$out/$name.toml"
done < "$here/days.txt"
play() {
    local day=$3 name
    name=$(basename "$day" .toml)
    if ! "$1" run "$2" "$day" --why "${WHY:-days of our own}" > "$day.log" 2>&1; then
        echo "$name  FAILED: $(tail -n 1 "$day.log")"
    fi
    grep "^$name " "$day.log" | sed 's/  */ /g' || echo "$name NO RESULT: $(tail -n 1 "$day.log")"
    cp "$day.log" "${KEEP:-$(dirname "$day")}/" 2>/dev/null || true
}
export -f play
find "$out" -name '*.toml' | sort | xargs -P "${JOBS:-4}" -I{} bash -c 'play "$@"' _ "$bench" "$site" {} \
    | tee "$out/lines"
! grep -q "BROKEN\|NO RESULT" "$out/lines"
