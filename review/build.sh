#!/bin/sh
# Builds the stand-ins of the scripts. The daemons are those of the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/stand review/stand/main.rs
