#!/usr/bin/env bash
# Runs the case of the folder that is named: run.sh FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, and 2 if the case could not run.
set -u
case_folder=$(cd "$1" && pwd)
root=$(cd "$case_folder/../.." && pwd)
program=target/review/case-$(basename "$case_folder")
cd "$root" || exit 2
if [ ! -x "$program" ] || [ ! -x target/release/rhubarb-edge ]; then
    echo "build first: the build of deploy/system.toml, then review/build.sh"
    exit 2
fi
work=$(mktemp -d) || exit 2
driver=
finish() {
    if [ -n "$driver" ]; then
        kill -KILL "$driver" 2>/dev/null
    fi
    # Entries of a driver that did not end by itself.
    if [ -f "$work/left" ] && [ -f "$work/pids" ]; then
        while read -r pid; do
            if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$root/target/release/rhubarb-edge" ]; then
                kill -KILL "$pid" 2>/dev/null
            fi
        done < "$work/pids"
    fi
    if [ "${KEEP_LOGS:-0}" = 1 ]; then
        echo "logs: $work"
    else
        rm -rf "$work"
    fi
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
touch "$work/left"
"$program" "$work" "$case_folder/record.txt" &
driver=$!
# Within 115 s, as a case runs for 120 s at most.
while kill -0 "$driver" 2>/dev/null && [ "$SECONDS" -lt 115 ]; do
    sleep 0.2
done
if kill -0 "$driver" 2>/dev/null; then
    echo "the case did not end in time"
    exit 2
fi
wait "$driver"
status=$?
case $status in
    0 | 1 | 2)
        rm -f "$work/left"
        driver=
        exit "$status"
        ;;
    *) exit 2 ;;
esac
