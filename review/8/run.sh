#!/usr/bin/env bash
# Plays the case after the build of deploy/system.toml and review/build-2.sh; see claim.txt.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -x target/review-standin-2 ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
exec target/review-standin-2 rare-poison "$folder"
