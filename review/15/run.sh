#!/usr/bin/env bash
exec bash "$(dirname "$0")/../stand-3/run-case.sh" 15
