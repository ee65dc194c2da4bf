#!/bin/sh
# Builds the stand-ins of the cases 6 to 9. The packages that they use are those of the project, so that no network is
# needed after the build of the deploy file.
set -eu
cd "$(dirname "$0")/standin-2"
cargo build --release --locked --offline || cargo build --release --locked
