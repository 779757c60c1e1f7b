#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. The daemon itself comes from the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-in-2 review/stand_in_2.rs
