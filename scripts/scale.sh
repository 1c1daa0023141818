#!/usr/bin/env bash
# Measures real node processes, each its own, at the base of `spanlab scale`
# (3 zones of 6 nodes and 6 engines, 64 adapters, no load), to hold the hollow ones against:
#
#     ./scripts/scale.sh [SECONDS [ADAPTERS]]
#
# Prints for each node its processor time, resident memory, and control's bytes
# and messages a second, from the nodes' own metrics. 22 processes; only those
# that this script started are ended, each by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

window=${1:-10}
adapters=${2:-64}
settle=${SCALE_SETTLE:-12}
zones=(zone-00 zone-01 zone-02)
nodes=6
engines=6
work=$(mktemp -d "${TMPDIR:-/tmp}/spanlanding-scale.XXXXXX")
pids=()

finish() {
  local pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap finish EXIT
trap 'exit 130' INT TERM

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=("$!")
}

mkdir -p bin
go build -o bin/ ./cmd/spanlanding ./cmd/spanlab

# Addresses differ between runs side by side.
net=127.$((201 + $$ % 50))
platform=http://$net.250.1:7100
start platform ./bin/spanlab platform --listen "$net.250.1:7100" --machine-lag 100ms --load-rate 0 --load-concurrency 0
sleep 0.5
for zone in "${!zones[@]}"; do
  start "engines-$zone" ./bin/spanlab engine --platform "$platform" --zone "${zones[$zone]}" --name-prefix "${zones[$zone]}-engine-" \
    --listen "$net.$((zone + 1)).251:7200" --count "$engines" --load-seconds 1
done

# The declarations of the base, with its 64 adapters or as many as asked for.
mkdir "$work/declared"
{
  for model in {0..7}; do
    printf -- '---\nkind: Model\nmetadata: {name: model-0%d}\nspec:\n  contextTokens: 8192\n  versions: [{name: v1, memory: 4GiB, checkpoint: 4GiB}]\n  replicas: {min: 1, max: 4}\n' "$model"
    printf -- '---\nkind: Deployment\nmetadata: {name: model-0%d, labels: {use: base}}\nspec: {model: model-0%d, versions: [{name: v1, weight: 100}]}\n' "$model" "$model"
  done
  for ((adapter = 0; adapter < adapters; adapter++)); do
    printf -- '---\nkind: Adapter\nmetadata: {name: adapter-%04d}\nspec: {model: model-0%d, memory: 64MiB}\n' "$adapter" "$((adapter % 8))"
    printf -- '---\nkind: Deployment\nmetadata: {name: adapter-%04d, labels: {use: adapter}}\nspec: {model: model-0%d, adapter: adapter-%04d, versions: [{name: v1, weight: 100}]}\n' "$adapter" "$((adapter % 8))" "$adapter"
  done
} >"$work/declared/fleet.yaml"
./bin/spanlanding apply --platform "$platform" --by scale --owner scale "$work/declared" >"$work/apply.log"

operators=()
for zone in "${!zones[@]}"; do
  remote=()
  for other in "${!zones[@]}"; do [ "$other" = "$zone" ] || remote+=("--remote-seed" "$net.$((other + 1)).1:7104"); done
  for number in $(seq "$nodes"); do
    host=$net.$((zone + 1)).$number
    start "${zones[$zone]}-$number" ./bin/spanlanding node --name "${zones[$zone]}-node-0$((number - 1))" --zone "${zones[$zone]}" \
      --caller "$host:7101" --operator "$host:7102" --peer "$host:7103" --gossip "$host:7104" --platform "$platform" \
      --seed "$net.$((zone + 1)).1:7104" --seed "$net.$((zone + 1)).2:7104" "${remote[@]}" --log-level error
    operators+=("$host:7102")
  done
done
sleep "$settle"

# figures FILE reads every node's figures: address, name, value.
figures() {
  local operator
  for operator in "${operators[@]}"; do
    curl -s "http://$operator/metrics" | awk -v node="$operator" '
      /^process_cpu_seconds_total/ { cpu = $2 }
      /^process_resident_memory_bytes/ { memory = $2 }
      /^spanlanding_control_bytes_total.*direction="sent"/ { sent += $2 }
      /^spanlanding_control_bytes_total.*direction="received"/ { received += $2 }
      /^spanlanding_control_messages_total/ { messages += $2 }
      END { print node, cpu, memory, sent, received, messages }'
  done >"$1"
}

figures "$work/before"
sleep "$window"
figures "$work/after"
paste -d ' ' "$work/before" "$work/after" | awk -v seconds="$window" '
  BEGIN { printf "%-22s %16s %12s %12s %14s %12s\n", "node", "cpu millicores", "memory MB", "sent B/s", "received B/s", "messages/s" }
  {
    row[1] = 1000 * ($8 - $2) / seconds; row[2] = $9 / 1048576
    for (i = 3; i <= 5; i++) row[i] = ($(i + 7) - $(i + 1)) / seconds
    printf "%-22s %16.1f %12.1f %12.0f %14.0f %12.1f\n", $1, row[1], row[2], row[3], row[4], row[5]
    for (i = 1; i <= 5; i++) sum[i] += row[i]
  }
  END { printf "%-22s %16.1f %12.1f %12.0f %14.0f %12.1f\n", "mean", sum[1] / NR, sum[2] / NR, sum[3] / NR, sum[4] / NR, sum[5] / NR }'
