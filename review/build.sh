#!/usr/bin/env bash
# Builds the programs of all cases into target/review/. They need nothing but the Rust compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for scenario in review/*/scenario.rs; do
  name=$(basename "$(dirname "$scenario")")
  rustc --edition 2024 -O "$scenario" -o "target/review/case-$name"
done
