#!/usr/bin/env bash
# Builds the stand-ins and the process control that the scripts of this folder use, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/rig review/rig.rs
