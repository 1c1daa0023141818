#!/usr/bin/env bash
# Generates the peer protocol's code anew and compares it with what is
# committed. Needs protoc; the build does not.
set -euo pipefail
cd "$(dirname "$0")/.."

work=$(mktemp -d "${TMPDIR:-/tmp}/spanlanding-generated.XXXXXX")
trap 'rm -rf "$work"' EXIT
go build -o "$work/protoc-gen-go" google.golang.org/protobuf/cmd/protoc-gen-go
go build -o "$work/protoc-gen-twirp" github.com/twitchtv/twirp/protoc-gen-twirp

source=internal/peer/peerpb
mkdir "$work/out"
protoc --proto_path="$source" \
  --plugin="$work/protoc-gen-go" --plugin="$work/protoc-gen-twirp" \
  --go_out="$work/out" --go_opt=paths=source_relative \
  --twirp_out="$work/out" --twirp_opt=paths=source_relative \
  "$source"/*.proto

stale=0
for generated in "$work/out"/*.go; do
  committed=$source/$(basename "$generated")
  # The line that names protoc's own version may differ.
  diff -I '^// .*protoc  *v' "$committed" "$generated" || { echo "$committed is not current" >&2; stale=1; }
done
exit "$stale"
