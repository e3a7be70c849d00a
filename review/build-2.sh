#!/usr/bin/env bash
# Builds what the scripts of this review start: the project's program, which has the emulated site,
# and the stand-ins, which need the standard library only. Works without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
