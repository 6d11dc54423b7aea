#!/bin/sh
# Builds the stand-ins of the cases from 11 on, with the standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc -O --edition 2024 -o target/review-3/stage review/stage/main.rs
