#!/usr/bin/env bash
# Builds the stand-ins of all cases: one program, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -A dead_code -o target/review/case review/standin/main.rs
