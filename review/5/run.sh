#!/usr/bin/env bash
# See claim.txt. TROUBLE=0 runs the case without the disruption; KEEP_LOGS=1 keeps the entries' logs.
folder=$(cd "$(dirname "$0")" && pwd)
exec bash "$folder/../lib/run.sh" "$folder"
