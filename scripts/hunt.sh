#!/usr/bin/env bash
# Plays standard days, hunted days and days drawn from seeds on the operators'
# bench, and prints one table. Says so and exits 0 where the bench is not there.
# SHORT is how many drawn days gather their troubles within nine seconds.
#
#   scripts/hunt.sh [DAYS [FIRST_SEED LAST_SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."

kit=../given/kit/more/system
bench=${FLEETBENCH:-$kit/more/bench-9713e2/bin/fleetbench}
# The large sites took the place of the first two; a day of theirs takes nine minutes.
sites=${SITES:-$kit/large/holmgaard-drift-large.toml $kit/large/fjordkurv-prod-large.toml}
days=${1:-8}
first=${2:-1}
last=${3:-20}
kept_seeds=${KEPT:-17 39 45}
troubles=${TROUBLES:-14}
short=${SHORT:-20}

if [ ! -x "$bench" ]; then
  echo "hunt: the bench is not here ($bench); nothing was played"
  exit 0
fi
work=$(mktemp -d "${TMPDIR:-/tmp}/spanlanding-hunt.XXXXXX")
trap 'rm -rf "$work"' EXIT
go build -o "$work/drawday" ./scripts/drawday

draw() { # draw SEED TROUBLES [-more]: writes the day and prints its file
  "$work/drawday" -seed "$1" -troubles "$2" ${@:3} > "$work/day-$1-$2.toml"
  echo "$work/day-$1-$2.toml"
}

for site in $sites; do
  name=$(basename "$site" .toml)
  "$bench" score "$site" --why "hunt: standard days" > "$work/$name.score" 2>&1 || true
  "$bench" hunt "$site" --days "$days" --why "hunt: $days days" > "$work/$name.hunt" 2>&1 || true
  : > "$work/$name.drawn"
  for seed in $kept_seeds; do
    for amount in 10 14; do
      "$bench" run "$site" "$(draw "$seed" "$amount")" --why "hunt: kept seed $seed, $amount troubles" >> "$work/$name.drawn" 2>&1 || true
    done
  done
  for seed in $(seq "$first" "$last"); do
    "$bench" run "$site" "$(draw "$seed" "$troubles" -more)" --why "hunt: drawn seed $seed, $troubles troubles" >> "$work/$name.drawn" 2>&1 || true
  done
done

for site in $sites; do
  name=$(basename "$site" .toml)
  for seed in $(seq 1000 $((999 + short))); do
    "$bench" run "$site" "$(draw "$seed" 9 -more -within 9)" --no-cpu --why "hunt: short day $seed" >> "$work/$name.drawn" 2>&1 || true
  done
done

printf '%-18s %-34s %s\n' site what result
for site in $sites; do
  name=$(basename "$site" .toml)
  printf '%-18s %-34s %s\n' "$name" "standard days" "$(grep -hoE ': [0-9.]+(,|$)' "$work/$name.score" | head -1 | tr -d ':, ') $(grep -hE '^GATE' "$work/$name.score")"
  printf '%-18s %-34s %s\n' "$name" "hunted days" "$(grep -hE 'days on' "$work/$name.hunt")"
  played=$(grep -cE '^drawn-' "$work/$name.drawn" || true)
  broken=$(grep -cE '^drawn-.*BROKEN' "$work/$name.drawn" || true)
  printf '%-18s %-34s %s\n' "$name" "drawn days" "$played played, $broken with a rule broken"
  grep -hE 'BROKEN' "$work/$name.score" "$work/$name.hunt" "$work/$name.drawn" | cut -c1-160 || true
done
