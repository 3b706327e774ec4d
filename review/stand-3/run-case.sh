#!/usr/bin/env bash
# Runs the program of one case and ends the entries that it has left, if it was interrupted.
# Usage: run-case.sh NUMBER
set -u
cd "$(dirname "$0")/../.."
program=target/review-3/case-$1
if [ ! -x "$program" ] || [ ! -x target/release/rhubarb-edge ]; then
    echo "build with the command of deploy/system.toml and review/build-3.sh first" >&2
    exit 2
fi
# The deployments give each process so many descriptors.
ulimit -n 4100 || exit 2
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_entries() {
    while read -r pid; do
        if [ "$(cat "/proc/$pid/comm" 2>/dev/null)" = rhubarb-edge ]; then kill -9 "$pid"; fi
    done <"$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap end_entries EXIT
timeout 115 "$program" "review/$1"
code=$?
if [ "$code" -gt 1 ]; then exit 2; fi
exit "$code"
