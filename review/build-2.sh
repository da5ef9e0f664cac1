#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. Needs the build of the deploy file before it, and no network.
set -eu
cd "$(dirname "$0")/standins-2"
cargo build --release --locked --offline
