#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. It has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/stand-in-2"
cargo build --release --locked --offline
