#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts; needs nothing but the toolchain.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig2 review/rig2.rs
