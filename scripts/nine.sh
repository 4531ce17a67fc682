#!/usr/bin/env bash
# Starts the nine VMs of one user's example files as processes of their own, with stand-ins,
# passes one program through them and stops them as planned.
#
#     scripts/nine.sh fenyrekesz|velkaneuvo [release|debug]
#
# Exits 0 if every step held. State and logs stay in the printed folder when a step fails.
set -euo pipefail

user=${1:?name a user: fenyrekesz or velkaneuvo}
profile=${2:-release}
root=$(cd "$(dirname "$0")/.." && pwd)
case $user in
  fenyrekesz) net=127.0.1 ;;
  velkaneuvo) net=127.0.2 ;;
  *) echo "no examples for $user: name fenyrekesz or velkaneuvo" >&2; exit 2 ;;
esac
case $profile in
  release) flags=(--release) ;;
  debug) flags=() ;;
  *) echo "name release or debug, not $profile" >&2; exit 2 ;;
esac

cd "$root"
cargo build --locked "${flags[@]}" -p gypsumglade -p gypsumglade-standin
bin=${CARGO_TARGET_DIR:-$root/target}/$profile
run=$(mktemp -d)
echo "state and logs are in $run"
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

fail() {
  echo "FAILED: $*; see the logs in $run" >&2
  exit 1
}

# Repeats a command until it succeeds, for half a minute at most.
eventually() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.1
  done
  fail "$* did not succeed in time"
}

start() {
  local name=$1
  shift
  "$@" >"$name.out" 2>"$name.log" &
  daemons+=($!)
}

standin() {
  local name=$1
  shift
  "$bin/gypsumglade-standin" "$@" --name "$name" >"$name.out" 2>"$name.log" &
  standins+=($!)
}

echo "== settings and key"
"$bin/gypsumglade" key new operator.key
public=$("$bin/gypsumglade" --output json key show operator.key | jq -r .public)
for vm in $(seq 9); do
  sed -E "s/- [0-9a-f]{64}/- $public/" "$root/examples/$user/vm$vm.yaml" >"vm$vm.yaml"
  "$bin/gypsumglade" settings check "vm$vm.yaml"
done

echo "== nine entries and three stores"
for vm in 1 4 7; do start "store$vm" "$bin/gypsumglade-store" --settings "vm$vm.yaml"; done
for vm in $(seq 9); do start "entry$vm" "$bin/gypsumglade-entry" --settings "vm$vm.yaml"; done
eventually "$bin/gypsumglade" bundle status --settings vm1.yaml

echo "== first roll"
"$bin/gypsumglade" bundle sign "$root/examples/bundle.yaml" --key operator.key --out bundle.signed
"$bin/gypsumglade" bundle roll bundle.signed --settings vm1.yaml

echo "== stand-ins"
entries=()
for vm in 2 5 8; do entries+=(--entry "http://$net.$vm:8081"); done
token=(--token example-endpoints-token)
domains=($(sed -n 's/^  domain: //p' vm1.yaml vm4.yaml vm7.yaml))
regions=(south south north)
for i in 0 1 2; do
  place=(--domain "${domains[$i]}" --region "${regions[$i]}" "${entries[@]}" "${token[@]}")
  standin "adv-$i" engine --model advisor@3 "${place[@]}"
  standin "book-$i" service --service booking "${place[@]}"
done
for vm in $(seq 9); do eventually curl -fsS "http://$net.$vm:8080/readyz"; done

echo "== one program, each turn at another VM"
chat() {
  local vm=$1 turn=$2 says=$3
  curl -sS --fail-with-body "http://$net.$vm:8080/v1/chat/completions" \
    -H 'authorization: Bearer example-key' -H 'content-type: application/json' \
    -H 'x-program-id: kit-1' -H 'x-program-agent: kit-planner' -H "x-program-turn: $turn" \
    -H "idempotency-key: kit-1-turn-$turn" \
    -d "{\"model\":\"advisor\",\"messages\":[{\"role\":\"user\",\"content\":\"$says\"}]}"
}
tool() {
  local vm=$1
  curl -sS --fail-with-body "http://$net.$vm:8080/v1/tools/booking/reserve" \
    -H 'authorization: Bearer example-key' -H 'content-type: application/json' \
    -H 'x-program-id: kit-1' -H 'x-program-agent: kit-planner' \
    -H 'idempotency-key: kit-1-reserve' -d '{"lens":"50mm"}'
}
eventually chat 1 1 "three lenses for a night shoot"
chat 1 1 "three lenses for a night shoot" >turn1.json
chat 5 2 "and a 50mm spare" >turn2.json
tool 3 >reserve1.json
tool 8 >reserve2.json
cmp reserve1.json reserve2.json || fail "the resent reservation got another receipt"
[ "$(jq .run reserve1.json)" = 1 ] || fail "the reservation ran more than once"
chat 9 3 "please confirm" >turn3.json
prompt=$(jq .usage.prompt_tokens turn3.json)
echo "prompt tokens of turn 3: $prompt"
# Words of three messages and two answers of sixteen tokens each.
[ "$prompt" = $((6 + 4 + 2 + 2 * 16)) ] || fail "the third turn did not carry the whole history"
curl -sS --fail-with-body -X DELETE "http://$net.4:8080/v1/programs/kit-1" \
  -H 'authorization: Bearer example-key'

echo "== planned stop"
for pid in "${daemons[@]}"; do kill -TERM "$pid"; done
for pid in "${daemons[@]}"; do
  wait "$pid" || fail "process $pid did not stop with exit code 0"
done
daemons=()
for pid in "${standins[@]}"; do kill -TERM "$pid"; done
for pid in "${standins[@]}"; do
  wait "$pid" || fail "stand-in $pid did not stop with exit code 0"
done
standins=()
rm -rf "$run"
echo "all steps held"
