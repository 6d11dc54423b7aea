#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -A warnings -o target/review-2/rig review/rig/main.rs
