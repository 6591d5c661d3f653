#!/bin/sh
# Builds every stand-in that the scripts of the cases start.
set -eu
cd "$(dirname "$0")"
cargo build --release --locked --offline --manifest-path standin/Cargo.toml
