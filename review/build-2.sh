#!/bin/sh
# Builds the stand-ins of cases 6 to 10. The front daemon itself comes from the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -C opt-level=2 -o target/review-2/cases review/stand-2/main.rs
