#!/usr/bin/env bash
# TROUBLE=0 leaves the disruption out; the case then has to pass.
export TROUBLE="${TROUBLE:-1}"
exec bash "$(dirname "$0")/../stand-3/run-case.sh" 12
