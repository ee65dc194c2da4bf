#!/bin/sh
# Builds the stand-ins of the cases 6 to 10.
set -eu
cd "$(dirname "$0")/standin-2"
exec cargo build --release --locked
