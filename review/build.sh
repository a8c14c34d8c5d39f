#!/bin/sh
# Builds the stand-ins and scripts of the cases. They use no packages.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/tools/Cargo.toml --target-dir target/review
