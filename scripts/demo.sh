#!/usr/bin/env bash
# Demonstrates a rollout, a withdrawn domain and failures under load, with every
# role as a separate process on loopback addresses.
set -euo pipefail
cd "$(dirname "$0")/.."

bin=build
port=${DEMO_PORT:-23000}
dir=$(mktemp -d)
pids=()
keep=${DEMO_KEEP:-}

cleanup() {
  trap - EXIT INT TERM
  for p in "${pids[@]}"; do kill -CONT "$p" 2>/dev/null || true; kill "$p" 2>/dev/null || true; done
  sleep 0.3
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -z "$keep" ]; then rm -rf "$dir"; else echo "logs are in $dir"; fi
}
trap cleanup EXIT
trap 'exit 130' INT TERM

next_port() { port=$((port + 1)); }
addr() { echo "127.0.0.1:$1"; }
say() { printf '%5d ms  %s\n' "$((${EPOCHREALTIME/./} / 1000 - started_ms))" "$*"; }
start() { # NAME COMMAND...: starts a process and sets pid_NAME to its process id
  local name=$1; shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.log" &
  pids+=($!)
  eval "pid_${name//-/_}=$!"
}
post() { "$bin/standin" fault --url "$1"; }

started_ms=$((${EPOCHREALTIME/./} / 1000))
domains=(andes-norte andes-centro litoral-sur)
keeper_ports=()
for _ in "${domains[@]}"; do next_port; keeper_ports+=("$port"); done
addresses=$(printf '"127.0.0.1:%s",' "${keeper_ports[@]}")
members=""
for i in "${!domains[@]}"; do members+="{\"Name\": \"keeper-$i\", \"Address\": \"$(addr "${keeper_ports[$i]}")\"},"; done

for i in "${!domains[@]}"; do
  cat >"$dir/keeper-$i.json" <<EOF
{
  "Process": {"Name": "keeper-$i", "Domain": "${domains[$i]}", "Region": "${domains[$i]}"},
  "Keeper": {"Listen": "$(addr "${keeper_ports[$i]}")", "Data": "$dir/keeper-$i", "Members": [$members]},
}
EOF
  "$bin/egretproxy" keeper init --config "$dir/keeper-$i.json" >/dev/null
  start "keeper-$i" "$bin/egretproxy" keeper --config "$dir/keeper-$i.json"
done

next_port; origin=$port
start origin "$bin/standin" depot --listen "$(addr "$origin")" --link 16000000

engines=()
for i in 0 1 2 3 4 5; do
  domain=${domains[$((i % 3))]}
  next_port; engine=$port; engines+=("http://$(addr "$engine")")
  fencing=$([ $((i % 2)) = 0 ] && echo --fencing || true)
  start "engine-$i" "$bin/standin" engine --listen "$(addr "$engine")" $fencing
  next_port
  cat >"$dir/agent-$i.json" <<EOF
{
  "Process": {"Name": "agent-$i", "Domain": "$domain", "Region": "$domain"},
  "Keepers": {"Addresses": [$addresses]},
  "Agent": {
    "Listen": "$(addr "$port")",
    "Target": {"ID": "engine-$i", "Address": "engine://$(addr "$engine")", "Slots": 16, "ColdSlots": 2},
    "Weights": {"Sources": ["origin://$(addr "$origin")"], "RegionRate": "24Mbit/s"},
  },
}
EOF
  start "agent-$i" "$bin/egretproxy" agent --config "$dir/agent-$i.json"
done

next_port; service=$port
start service "$bin/standin" service --listen "$(addr "$service")"
next_port
cat >"$dir/agent-service.json" <<EOF
{
  "Process": {"Name": "agent-service", "Domain": "andes-norte", "Region": "andes-norte"},
  "Keepers": {"Addresses": [$addresses]},
  "Agent": {
    "Listen": "$(addr "$port")",
    "Target": {"ID": "inventory-0", "Address": "service://$(addr "$service")", "Service": "inventory", "Slots": 16, "ColdSlots": 16},
  },
}
EOF
start agent-service "$bin/egretproxy" agent --config "$dir/agent-service.json"

cat >"$dir/keys.json" <<EOF
{"Organisations": [
  {"ID": "huts", "Key": "key-of-huts"}, {"ID": "guides", "Key": "key-of-guides"}, {"ID": "portal", "Key": "key-of-portal"},
]}
EOF
entries=()
for i in 0 1; do
  next_port; entries+=("http://$(addr "$port")")
  cat >"$dir/entry-$i.json" <<EOF
{
  "Process": {"Name": "entry-$i", "Domain": "${domains[$i]}", "Region": "${domains[$i]}"},
  "Keepers": {"Addresses": [$addresses]},
  "Entry": {
    "Listen": "$(addr "$port")", "OrganisationKeys": "$dir/keys.json", "DrainDelay": "500ms",
    "Routes": [{"Prefix": "/inventory", "Service": "inventory"}],
  },
}
EOF
  start "entry-$i" "$bin/egretproxy" entry --config "$dir/entry-$i.json"
done

# Operator commands need only the addresses of the keepers.
keepers=()
for p in "${keeper_ports[@]}"; do keepers+=(--keeper "$(addr "$p")"); done
op() { "$bin/egretproxy" "$@" "${keepers[@]}" --operator demo 2>>"$dir/operator.log"; }
show() { "$bin/egretproxy" "$@" "${keepers[@]}" 2>>"$dir/operator.log"; }

mkdir -p "$dir/v1" "$dir/v2/adapters"
head -c 8388608 /dev/urandom >"$dir/v1/weights.bin"
cp "$dir/v1/weights.bin" "$dir/v2/weights.bin"
dd if=/dev/urandom of="$dir/v2/weights.bin" bs=1M count=4 conv=notrunc status=none
head -c 524288 /dev/urandom >"$dir/v2/adapters/cords.bin"

await_targets() {
  for _ in $(seq 100); do
    [ "$(show target list --output json | grep -o '"Session"' | wc -l)" = "$1" ] && return
    sleep 0.2
  done
  echo "targets did not announce themselves" >&2; exit 1
}
await_targets 7
say "7 targets have announced themselves"

copies=0
create() { op bundle create "$1" --model "guide=$dir/$1:0" --publish "origin://$(addr "$origin")" --chunk-bytes 262144 >>"$dir/operator.out"; op bundle approve "$1" >>"$dir/operator.out"; }
origin_bytes_sent() { "$bin/standin" count --url "http://$(addr "$origin")/counts" --field Bytes; }
origin_bytes_stored() { "$bin/standin" count --url "http://$(addr "$origin")/counts" --field Held; }

create v1; create v2
rolled_at=$(date +%s%3N)
op bundle roll v1 --no-wait >>"$dir/operator.out"
show bundle status --follow >>"$dir/operator.out"
args=()
for e in "${engines[@]}"; do args+=(--engine "$e"); done
read -r replicas seconds < <("$bin/standin" loaded "${args[@]}" --bundle v1 --since "$rolled_at")
say "bundle v1 is in force at $replicas replicas"

start load "$bin/standin" load --entry "${entries[0]}" --entry "${entries[1]}" \
  --key key-of-huts --key key-of-guides --key key-of-portal --rate 40 --out "$dir/load.json"
sleep 5

say "rolling v2 in place of v1 under load"
op bundle supersede v1 v2 --no-wait >>"$dir/operator.out"
show bundle status --follow >>"$dir/operator.out"
say "bundle v2 is in force"

op domain withdraw andes-centro >>"$dir/operator.out"
say "andes-centro is withdrawn"
sleep 3
for i in 1 4; do post "${engines[$i]}/faults/mark"; done
sleep 2
for i in 1 4; do post "${engines[$i]}/faults/unmark"; done
op domain return andes-centro >>"$dir/operator.out"
say "andes-centro is back"
sleep 2

say "agent-5 is stopped gracefully, engine-0 and its agent are killed"
kill "$pid_agent_5"
sleep 1
kill -KILL "$pid_engine_0" "$pid_agent_0"
wait "$pid_engine_0" "$pid_agent_0" 2>/dev/null || true
sleep 4
kill "$pid_load"; wait "$pid_load" || true
copy_bytes=$(origin_bytes_stored); total=$(origin_bytes_sent)
"$bin/standin" naive --origin "origin://$(addr "$origin")" --manifest "$(show bundle status --output json | grep -o '"Manifest":"[0-9a-f]*"' | head -1 | cut -d'"' -f4)" --instances 6
naive_v1=$(( $(origin_bytes_sent) - total )); before=$(origin_bytes_sent)
"$bin/standin" naive --origin "origin://$(addr "$origin")" --manifest "$(show bundle status --output json | grep -o '"Manifest":"[0-9a-f]*"' | tail -1 | cut -d'"' -f4)" --instances 6
naive=$(( naive_v1 + $(origin_bytes_sent) - before ))
show bundle status; show domain status; show target list
say "done"

"$bin/standin" report "${args[@]}" --service "http://$(addr "$service")" --load "$dir/load.json" \
  --replicas "$replicas" --seconds "$seconds" --copy-bytes "$copy_bytes" --drawn-bytes "$total" --naive-bytes "$naive"
