#!/bin/bash
# Builds every stand-in that the scripts under review/4 to review/8 start. Run it after the build
# of the deploy file; it needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-2/Cargo.toml \
    --target-dir target/review-2
