#!/bin/sh
# Builds the stand-ins and the player of the cases. It needs no network.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/standin/Cargo.toml
