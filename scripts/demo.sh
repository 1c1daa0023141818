#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback, puts load on it, and
# judges by the back ends' own books whether every rule held:
#
#     ./scripts/demo.sh [fjordkurv|holmgaard] [-o json]
#
# While the load runs, one node and one engine are killed, the declarations are
# changed, one engine leaves and one node is stopped as planned. Exit code 0 if
# all rules held, 1 with what was broken. Only the processes that this script
# started are ended, each by its id.
set -euo pipefail
cd "$(dirname "$0")/.."

profile=fjordkurv
output=text
while [ $# -gt 0 ]; do
  case "$1" in
    fjordkurv|holmgaard) profile=$1 ;;
    -o) output=${2:?-o needs json or text}; shift ;;
    *) echo "usage: $0 [fjordkurv|holmgaard] [-o json]" >&2; exit 2 ;;
  esac
  shift
done

case "$profile" in
  fjordkurv) zones=(oslo-a oslo-b oslo-c); engines_per_zone=6; load_rate=4; load_concurrency=13 ;;
  holmgaard) zones=(vest-a vest-b vest-c vest-d); engines_per_zone=5; load_rate=3; load_concurrency=6 ;;
esac
nodes_per_zone=2
duration=${DEMO_DURATION:-20s}
rate=${DEMO_RATE:-30}
seed=${DEMO_SEED:-1}
# Faults of the stand-ins beside the kills; see spanlab load --help.
stand_in_faults=${DEMO_FAULTS:-none}
# DEMO_PAUSE=1 stops a node, which may lead its zone, for a quarter of the load
# and lets it go on; DEMO_KEEP=1 keeps the logs.

work=$(mktemp -d "${TMPDIR:-/tmp}/spanlanding-demo.XXXXXX")
faults=$work/faults.jsonl
pids=()

say() { echo "demo: $*" >&2; }

# finish ends what is still running, asking first. It keeps the logs of a run
# that failed, or of any run if DEMO_KEEP is set.
finish() {
  local status=$? pid
  trap - EXIT INT TERM
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in {1..30}; do
    some_run || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "$status" -eq 0 ] && [ -z "${DEMO_KEEP:-}" ]; then rm -rf "$work"; else say "exit $status; logs are in $work"; fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

some_run() {
  local pid
  for pid in "${pids[@]}"; do kill -0 "$pid" 2>/dev/null && return 0; done
  return 1
}

# start NAME COMMAND... runs a process in the background; its id is in $started.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  started=$!
  pids+=("$started")
}

# kill_now ends one process without warning and takes note of its end, so that
# the shell does not report it.
kill_now() {
  kill -KILL "$1"
  wait "$1" 2>/dev/null || true
  forget "$1"
}

forget() {
  local kept=() pid
  for pid in "${pids[@]}"; do [ "$pid" = "$1" ] || kept+=("$pid"); done
  pids=("${kept[@]}")
}

# Ports lie below the range that the kernel gives to outgoing connections, at a
# place that differs between runs side by side.
next_port=$((10000 + ($$ % 200) * 100))
port_is_taken() { (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }
while port_is_taken "$next_port" || port_is_taken $((next_port + 40)); do next_port=$((next_port + 100)); done
take_ports() { port=$next_port; next_port=$((next_port + $1)); }

await_port() {
  for _ in {1..100}; do
    port_is_taken "$1" && return 0
    sleep 0.1
  done
  say "nothing listens on port $1; see $work"
  return 1
}

# note KIND TARGET [DETAIL] writes a fault for the judge.
note() {
  printf '{"at":"%s","kind":"%s","target":"%s","detail":"%s"}\n' \
    "$(date -u +%Y-%m-%dT%H:%M:%S.%NZ)" "$1" "$2" "${3:-}" >>"$faults"
  say "$1 $2 ${3:-}"
}

say "building"
mkdir -p bin
go build -o bin/ ./cmd/spanlanding ./cmd/spanlab

take_ports 1
platform=http://127.0.0.1:$port
start platform ./bin/spanlab platform --listen "127.0.0.1:$port" \
  --load-rate "$load_rate" --load-concurrency "$load_concurrency"
await_port "$port"

# declared_services lists the names of the Service objects of the examples.
declared_services() {
  cat "examples/$profile"/*.yaml | awk '
    /^---/ { service = 0 }
    /^kind:/ { service = ($2 == "Service") }
    service && match($0, /name:[ ]*[A-Za-z0-9._-]+/) {
      name = substr($0, RSTART + 5, RLENGTH - 5); gsub(/ /, "", name); print name; service = 0
    }'
}
mapfile -t services < <(declared_services)

# engines NAME ZONE COUNT starts engines in one process.
engines() {
  take_ports "$3"
  start "$1" ./bin/spanlab engine --platform "$platform" --zone "$2" --name-prefix "$1-" \
    --listen "127.0.0.1:$port" --count "$3" --memory 80GiB --kv-reserve 8GiB \
    --load-seconds 1.5 --token-interval 15ms
}

say "starting $profile: ${#zones[@]} zones, $engines_per_zone engines each, services ${services[*]}"
for zone in "${zones[@]}"; do
  case "$zone" in
    "${zones[0]}") engines "$zone-engine-doomed" "$zone" 1; doomed_engine=$started; shared=$((engines_per_zone - 1)) ;;
    "${zones[1]}") engines "$zone-engine-leaving" "$zone" 1; leaving_engine=$started; shared=$((engines_per_zone - 1)) ;;
    *) shared=$engines_per_zone ;;
  esac
  engines "$zone-engine" "$zone" "$shared"
  for service in "${services[@]}"; do
    take_ports 1
    start "$zone-$service" ./bin/spanlab service --platform "$platform" --zone "$zone" --service "$service" \
      --name-prefix "$zone-$service-" --listen "127.0.0.1:$port" --count 1 --service-time 20ms
  done
done

say "applying examples/$profile"
cp -r "examples/$profile" "$work/declared"
apply() {
  ./bin/spanlanding apply --platform "$platform" --by demo --owner "$profile" -o json "$work/declared" >"$work/apply.json"
  version=$(sed -n 's/^  "version": *\([0-9]*\).*/\1/p' "$work/apply.json" | head -n 1)
}
apply

declare -A gossip
node_settings=()
for zone in "${zones[@]}"; do
  for number in $(seq "$nodes_per_zone"); do
    take_ports 4
    node_settings+=("$zone $zone-$number $port")
    gossip[$zone]+="127.0.0.1:$((port + 3)) "
  done
done

joined() { local IFS=,; echo "$*"; }

# remote_seeds ZONE names one node of each other zone.
remote_seeds() {
  local zone seeds=()
  for zone in "${zones[@]}"; do
    [ "$zone" = "$1" ] || seeds+=("${gossip[$zone]%% *}")
  done
  echo "[$(joined "${seeds[@]}")]"
}

declare -A node_pid
callers=()
operators=()
for settings in "${node_settings[@]}"; do
  read -r zone name port <<<"$settings"
  cat >"$work/$name.yaml" <<SETTINGS
name: $name
zone: $zone
listen:
  caller: 127.0.0.1:$port
  operator: 127.0.0.1:$((port + 1))
  peer: 127.0.0.1:$((port + 2))
  gossip: 127.0.0.1:$((port + 3))
platform: $platform
seeds: [$(joined ${gossip[$zone]})]
remoteSeeds: $(remote_seeds "$zone")
weightStore:
  loadsPerSecond: $load_rate
  concurrentLoads: $load_concurrency
SETTINGS
  start "$name" ./bin/spanlanding node --settings "$work/$name.yaml"
  node_pid[127.0.0.1:$port]=$started
  callers+=("127.0.0.1:$port")
  operators+=("127.0.0.1:$((port + 1))")
done
for settings in "${node_settings[@]}"; do await_port "${settings##* }"; done
say "waiting until version $version is in force at ${#callers[@]} nodes"
for operator in "${operators[@]}"; do
  ./bin/spanlanding wait --node "$operator" --version "$version" --timeout 10s >>"$work/wait.log" 2>&1 ||
    { cat "$work/wait.log" >&2; exit 1; }
done

# change declares another weight of the preferences, which moves no model. The
# store may be down just then, so that it is tried again as an operator would.
change() {
  sed -i 's/^\(  coldStartWeight: \).*/\10.55/' "$work/declared"/*.yaml
  for _ in {1..20}; do
    apply 2>>"$work/change.log" && break
    sleep 0.5
  done
  ./bin/spanlanding wait --node "${operators[0]}" --version "$version" --timeout 5s >&2 || true
}

killed_node=${callers[1]}
paused_node=${callers[4]}
stopped_node=${callers[3]}
: >"$faults"

# act does what a moment of the scenario asks for.
act() {
  case "$1" in
    kill-node)
      note node-killed "$killed_node"
      kill_now "${node_pid[$killed_node]}" ;;
    kill-engine)
      note engine-killed "${zones[0]}-engine-doomed-0"
      kill_now "$doomed_engine" ;;
    pause-node)
      [ -z "${DEMO_PAUSE:-}" ] || { note node-paused "$paused_node"; kill -STOP "${node_pid[$paused_node]}"; } ;;
    continue-node)
      [ -z "${DEMO_PAUSE:-}" ] || { kill -CONT "${node_pid[$paused_node]}"; note node-continued "$paused_node"; } ;;
    change) change & pids+=("$!") ;;
    leave-engine)
      say "engine ${zones[1]}-engine-leaving-0 leaves"
      kill -TERM "$leaving_engine" ;;
    stop-node)
      note node-stopped "$stopped_node"
      kill -TERM "${node_pid[$stopped_node]}" ;;
    all-sent)
      local code=0
      wait "${node_pid[$stopped_node]}" || code=$?
      forget "${node_pid[$stopped_node]}"
      note node-exited "$stopped_node" "$code" ;;
  esac
}

backends=$((${#zones[@]} * (engines_per_zone + ${#services[@]})))
say "load for $duration at $rate requests a second, seed $seed"
mkfifo "$work/moments"
./bin/spanlab load --nodes "$(joined "${callers[@]}")" --operators "$(joined "${operators[@]}")" \
  --platform "$platform" --profile "$profile" --backends "$backends" \
  --rate "$rate" --duration "$duration" --seed "$seed" --check --every-rule --faults "$stand_in_faults" --fault-log "$faults" \
  --history "$work/history.jsonl" -o "$output" >"$work/summary" 2>"$work/moments" &
load=$!
pids+=("$load")
while read -r word rest; do
  case "$word" in
    moment) act "$rest" ;;
    *) say "$word $rest" ;;
  esac
done <"$work/moments"
status=0
wait "$load" || status=$?
forget "$load"
cat "$work/summary"
exit "$status"
