#!/usr/bin/env bash
# Plays the standard days of a site on the operators' bench, each on several
# seeds, and keeps each day's report for scripts/daystats.
#
#   scripts/play.sh OUT SITE WHY [SEED ...]
#
# OUT gets one report for each day and seed, DAY@SEED.json; the seed "own" is
# the day's own. DAYS names other days than the standard ones, JOBS the plays at
# a time (4). FLEETBENCH names the bench.
set -euo pipefail

out=$1 site=$2 why=$3
shift 3
seeds=${*:-own 1 2}
days=${DAYS:-quiet-1 trouble-1 trouble-2 trouble-3 scale-1 scale-2}
export bench=${FLEETBENCH:-../given/kit/more/system/more/bench-9713e2/bin/fleetbench}
export out site why
mkdir -p "$out"

play() { # play DAY SEED
  local seed=()
  if [ "$2" != own ]; then seed=(--seed "$2"); fi
  "$bench" run "$site" "$1" ${seed[@]+"${seed[@]}"} --report "$out/$1@$2.json" --why "$why" > "$out/$1@$2.txt" 2>&1 ||
    echo "play: $1@$2 did not pass" >&2
}
export -f play

"$bench" build > "$out/build.txt" 2>&1
for day in $days; do
  for seed in $seeds; do
    echo "$day $seed"
  done
done | xargs -P "${JOBS:-4}" -n 2 bash -c 'play "$1" "$2"' play
