#!/usr/bin/env bash
# Plays faults drawn from seeds over real processes on a stand-in of the
# operators' platform, by the real clock, and prints a line for each seed. The
# logs of a run that breaks a rule are kept.
#
#   scripts/soak.sh [SECONDS [FIRST_SEED LAST_SEED [AT_A_TIME]]]
#
# NODES is the number of nodes of a run, and KINDS the kinds of faults with commas
# between; an unknown one is named with an error.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${1:-60}
first=${2:-1}
last=${3:-3}
at_a_time=${4:-1}
nodes=${NODES:-6}
kinds=${KINDS:-}

work=$(mktemp -d "${TMPDIR:-/tmp}/spanlanding-soak.XXXXXX")
go test -c -o "$work/soak.test" ./test/platform
cd test/platform
play() {
  local seed=$1
  mkdir "$work/seed-$seed"
  if SOAK_LOGS="$work/seed-$seed" "$work/soak.test" -test.run '^TestSoak$' -test.v -soak "${seconds}s" -soak.seed "$seed" -soak.nodes "$nodes" -soak.kinds "$kinds" > "$work/seed-$seed.txt" 2>&1; then
    grep -hoE 'seed [0-9]+: .*' "$work/seed-$seed.txt"
    rm -r "$work/seed-$seed"
  else
    echo "seed $seed: BROKEN, see $work/seed-$seed.txt and the logs beside it"
    grep -hE 'found: |soak: |^panic' "$work/seed-$seed.txt" | head -5
  fi
}
for seed in $(seq "$first" "$last"); do
  while [ "$(jobs -rp | wc -l)" -ge "$at_a_time" ]; do wait -n; done
  play "$seed" &
done
wait
ls "$work"/seed-*/ >/dev/null 2>&1 || rm -r "$work"
