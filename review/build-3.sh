#!/bin/sh
# Builds the stand-ins of the cases of the third review. They need the Rust compiler alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/rig review/rig-3/main.rs
