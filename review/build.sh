#!/bin/sh
# Builds the program that runs the cases, with all stand-ins that they start, into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
"${RUSTC:-rustc}" --edition 2024 -O -o target/review/rig review/rig/main.rs
