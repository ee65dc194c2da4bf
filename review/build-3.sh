#!/usr/bin/env bash
# Builds the stand-ins of the scripts of the third review. They need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standin-3/Cargo.toml --target-dir target/review-3
