#!/usr/bin/env bash
# Measures what entry and store processes cost without calls: processor time, resident memory and
# bytes of TCP connections, after a bundle was rolled. Three VMs are stores, in three domains.
#
#     scripts/idle.sh VMS ENDPOINTS [SECONDS] [BUNDLE]
#
# VMS is 4 to 60; ENDPOINTS stand-ins announce themselves once a second. Prints one JSON line with
# means for each process, and the time of one more roll. Bytes are read by `ss` and leave out TCP, IP and UDP headers and the
# membership's datagrams; a connection that closes meanwhile isn't counted.
set -euo pipefail

vms=${1:?name the count of VMs}
endpoints=${2:?name the count of endpoints}
seconds=${3:-30}
bundle=$(realpath "${4:-$(dirname "$0")/../examples/bundle.yaml}")
net=127.0.9
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${CARGO_TARGET_DIR:-$root/target}/release
domains=(szeged budapest miskolc)
regions=(south south north)
stores=(1 2 3)
run=$(mktemp -d)
cd "$run"

daemons=()
standins=()
# Ends only what this script started, each by its process id.
cleanup() {
  for pid in "${standins[@]}" "${daemons[@]}"; do
    kill -9 "$pid" 2>/dev/null || true
  done
}
trap cleanup EXIT

eventually() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  echo "FAILED: $* did not succeed in time; see the logs in $run" >&2
  exit 1
}

peer_lines() {
  local vm
  for vm in $(seq "$vms"); do
    local place=$(((vm - 1) % 3)) store=""
    if [ "$vm" -le ${#stores[@]} ]; then store=", store: \"$net.$vm:8085\""; fi
    echo "  - { vm: $vm, peers: \"$net.$vm:8082\", gossip: \"$net.$vm:8084\"," \
      "domain: ${domains[$place]}, region: ${regions[$place]}$store }"
  done
}

settings() {
  local vm=$1 place=$((($1 - 1) % 3))
  echo "vm: { id: $vm, domain: ${domains[$place]}, region: ${regions[$place]} }"
  echo "listen: { callers: \"$net.$vm:8080\", endpoints: \"$net.$vm:8081\"," \
    "peers: \"$net.$vm:8082\", admin: \"$net.$vm:8083\", gossip: \"$net.$vm:8084\" }"
  echo "peers:"
  peer_lines
  if [ "$vm" -le ${#stores[@]} ]; then
    echo "store: { folder: vm$vm, peers: \"$net.$vm:8085\", admin: \"$net.$vm:8086\" }"
  fi
  echo "tokens: { peers: example-peers-token, admin: example-admin-token," \
    "endpoints: example-endpoints-token }"
  echo "operators: { keys: [$public], threshold: 1 }"
}

"$bin/gypsumglade" key new operator.key >/dev/null
public=$("$bin/gypsumglade" --output json key show operator.key | jq -r .public)
for vm in $(seq "$vms"); do settings "$vm" >"vm$vm.yaml"; done

start() {
  local name=$1
  shift
  "$@" >"$name.out" 2>"$name.log" &
  daemons+=($!)
}

for vm in "${stores[@]}"; do start "store$vm" "$bin/gypsumglade-store" --settings "vm$vm.yaml"; done
for vm in $(seq "$vms"); do start "entry$vm" "$bin/gypsumglade-entry" --settings "vm$vm.yaml"; done
eventually "$bin/gypsumglade" bundle status --settings vm1.yaml
"$bin/gypsumglade" bundle sign "$bundle" --key operator.key \
  --out bundle.signed >/dev/null
"$bin/gypsumglade" bundle roll bundle.signed --settings vm1.yaml &>roll.log
for vm in $(seq "$vms"); do eventually curl -fsS "http://$net.$vm:8080/readyz"; done

entries=()
for vm in $(seq "$vms"); do entries+=(--entry "http://$net.$vm:8081"); done
for n in $(seq "$endpoints"); do
  "$bin/gypsumglade-standin" engine --model advisor@3 --domain "${domains[$((n % 3))]}" \
    --region "${regions[$((n % 3))]}" "${entries[@]}" --token example-endpoints-token --name "idle-$n" \
    >"standin$n.out" 2>"standin$n.log" &
  standins+=($!)
done
sleep 5

# Prints for a process: clock ticks used, resident KB, bytes sent and bytes received.
look() {
  local pid=$1 sockets=$2
  local ticks kilobytes
  ticks=$(awk '{ print $14 + $15 }' <<<"$(sed 's/.*) /0 0 /' "/proc/$pid/stat")")
  kilobytes=$(awk '/^VmRSS/ { print $2 }' "/proc/$pid/status")
  awk -v pid="pid=$pid," -v ticks="$ticks" -v kilobytes="$kilobytes" '
    /users:/ { own = index($0, pid) > 0; next }
    own && match($0, /bytes_sent:[0-9]+/) { sent += substr($0, RSTART + 11, RLENGTH - 11) }
    own && match($0, /bytes_received:[0-9]+/) { got += substr($0, RSTART + 15, RLENGTH - 15) }
    END { print ticks, kilobytes, sent + 0, got + 0 }' "$sockets"
}

look_all() {
  ss -tinpH >"sockets.$1"
  for index in "${!daemons[@]}"; do look "${daemons[$index]}" "sockets.$1"; done >"looks.$1"
}

look_all before
sleep "$seconds"
look_all after

# A second version, from the operator's order until it is reported in force on every VM.
sed -E 's/^version: .*/version: "9999.1"/' "$bundle" >second.yaml
"$bin/gypsumglade" bundle sign second.yaml --key operator.key --out second.signed >/dev/null
ordered=$(date +%s%N)
"$bin/gypsumglade" bundle roll second.signed --settings vm1.yaml &>roll2.log
rolled=$((($(date +%s%N) - ordered) / 1000000))

# The first three lines are the stores, the next three the entries on the same VMs, which the
# stores ask for the members over loopback; the rest are entries on VMs of their own.
paste -d' ' looks.before looks.after | awk -v seconds="$seconds" -v vms="$vms" \
  -v endpoints="$endpoints" -v rolled="$rolled" -v hertz="$(getconf CLK_TCK)" '
  { role = NR <= 3 ? "store" : NR <= 6 ? "beside" : "entry"; count[role]++
    cpu[role] += ($5 - $1) * 100 / hertz / seconds; memory[role] += $6 / 1024
    sent[role] += ($7 - $3) / seconds; got[role] += ($8 - $4) / seconds }
  function row(role) {
    return sprintf("\"%s\":{\"cpu_percent\":%.3f,\"megabytes\":%.1f,\"sent\":%.0f,\"received\":%.0f}",
      role, cpu[role] / count[role], memory[role] / count[role], sent[role] / count[role],
      got[role] / count[role]) }
  END { printf "{\"vms\":%d,\"endpoints\":%d,\"seconds\":%d,\"roll_ms\":%d,%s,%s,%s}\n",
    vms, endpoints, seconds, rolled, row("entry"), row("beside"), row("store") }'

kill -TERM "${standins[@]}" "${daemons[@]}" 2>/dev/null || true
wait
rm -rf "$run"
