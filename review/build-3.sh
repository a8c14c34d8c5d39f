#!/bin/sh
# Builds the stand-ins and clients of the cases 11 to 15 into target/release,
# after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target cargo build --release --locked --offline \
    --manifest-path review/tools-3/Cargo.toml
