#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out. review/build.sh builds the player.
cd "$(dirname "$0")/../.." || exit 2
player=review/standin/target/release/review-standin
[ -x "$player" ] && [ -x target/release/rosemaryscaled ] || exit 2
exec "$player" cursor review/5
