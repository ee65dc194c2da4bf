#!/usr/bin/env bash
# Runs a program of review/standin-3 for a case folder: case-3.sh PROGRAM FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run. TROUBLE=0 leaves the disturbance out.
set -u
export TROUBLE="${TROUBLE:-1}"
program="target/review-3/release/$1"
folder="$2"
for needed in "$program" target/release/rosemaryscaled; do
    if [ ! -x "$needed" ]; then
        echo "$needed is missing: build the deploy file's program and run review/build-3.sh"
        exit 2
    fi
done
# The case ends in good time by itself; the bound is for one that hangs. Its daemons end with it.
timeout --signal=TERM --kill-after=5 110 "$program" "$folder"
status=$?
case "$status" in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
