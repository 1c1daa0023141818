#!/usr/bin/env bash
# Builds every stand-in that a case starts.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/standin ./review/standin
