#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review. Needs the Rust compiler and no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
out=$root/target/review-2
mkdir -p "$out"
for source in "$root"/review/*/case.rs; do
    number=$(basename "$(dirname "$source")")
    "${RUSTC:-rustc}" --edition 2024 -O -o "$out/case-$number" "$source"
done
