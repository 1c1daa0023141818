#!/usr/bin/env bash
# Builds the stand-ins that the cases of the second review start, after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin-2 ./review/standin-2
