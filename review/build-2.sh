#!/bin/sh
# Builds the stand-ins of this review's scripts, with the standard library only.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2021 -O -o target/review-2/lab review/lab-2/main.rs
