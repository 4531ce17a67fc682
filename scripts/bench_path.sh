#!/usr/bin/env bash
# Measures what the system adds to a call: one `gypsumglade serve` between the load tool and one
# stand-in engine, each a process of its own, all on this machine.
#
#     scripts/bench_path.sh [streams]
#
# Prints one JSON document. The load is the same on both paths of a comparison, and both are
# measured in the same run. docs/measurements/path.md explains the figures.
set -euo pipefail

streams=${1:-64}
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked -p gypsumglade -p gypsumglade-standin >&2
export PATH=${CARGO_TARGET_DIR:-$root/target}/release:$PATH
run=$(mktemp -d)
cd "$run"

pids=()
# Ends only what this script started, each by its process id.
cleanup() {
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null || true; done
  rm -rf "$run"
}
trap cleanup EXIT

gypsumglade serve --folder data >serve.out 2>serve.log &
serve=$!
pids+=("$serve")
until [ -s serve.out ]; do sleep 0.1; done
admin=$(jq -r .admin serve.out)
callers=$(jq -r .callers serve.out)
endpoints=$(jq -r .endpoints serve.out)
gypsumglade bundle sign "$root/examples/bundle.yaml" --key data/operator.key --out b.signed >&2
gypsumglade bundle roll b.signed --vm "$admin" --token-file data/admin.token >&2

# Starts an engine and waits until it listens; its address goes to `engine`.
start_engine() {
  local name=$1
  shift
  gypsumglade-standin engine --name "$name" --model advisor@3 --slots 4096 \
    --prefill-rate 1000000000 --cache-tokens 100000000 \
    --entry "http://$endpoints" --token "$(cat data/endpoints.token)" "$@" >"$name.out" 2>&1 &
  pid=$!
  pids+=("$pid")
  until [ -s "$name.out" ]; do sleep 0.1; done
  engine=$(sed 's/listening on //' "$name.out")
  sleep 1
}

# Programs that did not finish are counted in the result, not taken as a failure of the run.
load() { gypsumglade-standin load --key example-key --agent kit-planner "$@" 2>>load.log || true; }

# CPU seconds that a process has used.
cpu() {
  awk -v tick="$(getconf CLK_TCK)" '{print ($14 + $15) / tick}' "/proc/$1/stat"
}
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/$1/status"; }

start_engine adv-1 --decode-rate 1000000 --answer-tokens 256
echo "== latency, one call at a time" >&2
one=(--programs 300 --width 1 --turns 3 --words 40 --output 16 --whole)
load --base "http://$engine" "${one[@]}" --prefix direct >direct.json
load --base "http://$callers" "${one[@]}" --prefix through >through.json

echo "== calls a second" >&2
before=$(cpu "$serve")
load --base "http://$callers" --programs 3000 --width 64 --turns 3 --words 40 --output 16 --whole \
  --prefix calls >calls.json
calls_cpu=$(awk "BEGIN {print $(cpu "$serve") - $before}")

echo "== streamed tokens a second" >&2
before=$(cpu "$serve")
load --base "http://$callers" --programs 1500 --width 64 --turns 2 --words 40 --output 256 \
  --prefix tokens >tokens.json
tokens_cpu=$(awk "BEGIN {print $(cpu "$serve") - $before}")
kill -9 "$pid"
sleep 4

echo "== memory of $streams open streams" >&2
start_engine adv-2 --decode-rate 20 --answer-tokens 200
idle=$(resident_kb "$serve")
load --base "http://$callers" --programs "$streams" --width "$streams" --turns 1 --words 40 \
  --output 200 --prefix memory >memory.json &
loader=$!
sleep 6
open=$(resident_kb "$serve")
# Admission may hold some back, so the streams that are open are counted, not those asked for.
running=$(gypsumglade dump --vm "$admin" --token-file data/admin.token | jq .running)
wait "$loader"

jq -n --slurpfile direct direct.json --slurpfile through through.json --slurpfile calls calls.json \
  --slurpfile tokens tokens.json --slurpfile memory memory.json \
  --argjson calls_cpu "$calls_cpu" --argjson tokens_cpu "$tokens_cpu" \
  --argjson idle "$idle" --argjson open "$open" --argjson running "$running" '{
  direct_ms: {p50: $direct[0].call.p50_ms, p99: $direct[0].call.p99_ms},
  through_ms: {p50: $through[0].call.p50_ms, p99: $through[0].call.p99_ms},
  added_ms: {p50: ($through[0].call.p50_ms - $direct[0].call.p50_ms),
             p99: ($through[0].call.p99_ms - $direct[0].call.p99_ms)},
  calls: {per_second: ($calls[0].calls / $calls[0].seconds),
          cpu_ms_each: (1000 * $calls_cpu / $calls[0].calls),
          refused: $calls[0].refused, unknown: $calls[0].unknown},
  tokens: {per_second: ($tokens[0].tokens / $tokens[0].seconds),
           cpu_us_each: (1000000 * $tokens_cpu / $tokens[0].tokens),
           first_p95_ms: $tokens[0].first_token.p95_ms, gap_p95_ms: $tokens[0].token_gap.p95_ms,
           refused: $tokens[0].refused, unknown: $tokens[0].unknown},
  memory: {open: $running, kb_each: (($open - $idle) / $running),
           refused: $memory[0].refused, unknown: $memory[0].unknown}
}'
