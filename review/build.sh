#!/bin/bash
# Builds the stand-ins of all scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin"
exec cargo build --release --offline --target-dir ../../target/review
