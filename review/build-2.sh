#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
    --manifest-path review/tools-2/Cargo.toml --target-dir target/review-2
