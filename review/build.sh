#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Needs the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_in review/stand_in.rs
