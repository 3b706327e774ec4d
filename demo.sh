#!/usr/bin/env bash
# Builds rhubarbloom and runs its main job on loopback, as separate processes.
# With --keep the processes stay up until Ctrl-C or SIGTERM.
set -euo pipefail
cd "$(dirname "$0")"

KEEP=no
case "${1:-}" in
  "") ;;
  --keep) KEEP=yes ;;
  *) echo "usage: ./demo.sh [--keep]" >&2; exit 2 ;;
esac

CALLER_KEY=demo-caller-key
PREFILLS="prefill-1 prefill-2"
DECODES="decode-1 decode-2"
PLAINS="yard-1 yard-2 yard-3"
WAIT_SECONDS=60

cargo build --quiet --workspace --bins
BIN=${CARGO_TARGET_DIR:-target}/debug
WORK=$(mktemp -d)
PIDS=()

stop_all() {
  trap - EXIT INT TERM
  # Last started, first stopped: entries still need the agents, and both the platform.
  local at
  for ((at = ${#PIDS[@]} - 1; at > 0; at--)); do kill -TERM "${PIDS[at]}" 2>/dev/null || true; done
  for ((at = ${#PIDS[@]} - 1; at > 0; at--)); do wait "${PIDS[at]}" 2>/dev/null || true; done
  kill -TERM "${PIDS[0]:-}" 2>/dev/null || true
  rm -rf "$WORK"
}
trap stop_all EXIT
trap 'exit 0' INT TERM

# start NAME COMMAND...: runs a process and waits for its line `listening ...`.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>"$WORK/$name.log" &
  PIDS+=("$!")
  echo "$!" >"$WORK/$name.pid"
  wait_for "$name to listen" grep -q '^listening' "$WORK/$name.out"
}

# wait_for WHAT COMMAND...: waits until the command succeeds.
wait_for() {
  local what=$1
  shift
  local end=$((SECONDS + WAIT_SECONDS))
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS > end)); then
      echo "demo: gave up waiting for $what; last logs:" >&2
      tail -n 5 "$WORK"/*.log >&2
      exit 1
    fi
    sleep 0.05
  done
}

# address NAME KIND: address of a process; KIND is http or peer.
address() { sed -n "s/^listening.*$2=\([0-9.:]*\).*/\1/p" "$WORK/$1.out"; }

# call METHOD ADDRESS PATH BODY [HEADER...]: one HTTP call; prints status line, headers and body.
call() {
  local method=$1 host=${2%:*} port=${2#*:} path=$3 body=$4
  shift 4
  exec 3<>"/dev/tcp/$host/$port"
  {
    printf '%s %s HTTP/1.0\r\nHost: %s:%s\r\n' "$method" "$path" "$host" "$port"
    printf 'Content-Length: %d\r\n' "${#body}"
    for header in "$@"; do printf '%s\r\n' "$header"; done
    printf '\r\n%s' "$body"
  } >&3
  cat <&3
  exec 3<&- 3>&-
}

body() { sed '1,/^\r*$/d'; }
is_ready() { call GET "$1" /readyz "" | head -n 1 | grep -q ' 200 '; }

# register NAME KIND ZONE ADDRESS HTTP: enters an instance in the platform's list.
register() {
  local row
  row=$(printf '{"name":"%s","kind":"%s","zone":"%s","address":"%s","http":"%s","state":"live"}' "$@")
  call PUT "$FAKES" "/instances/$1" "$row" >/dev/null
}

# settings EXAMPLE KEY=VALUE...: a settings file made from an example.
settings() {
  local file=$1
  shift
  local script="s#127.0.0.1:9000#$FAKES#"
  for pair in "$@"; do script+=";s#^${pair%%=*} = .*#${pair%%=*} = ${pair#*=}#"; done
  sed "$script" "examples/$file"
}

start fakes "$BIN/rhubarb-fakes"
FAKES=$(address fakes http)

zones=(sfax-hall-a sfax-hall-b sfax-port)
count=0
start_agent() {
  local server=$1 kind=$2 zone=${zones[count % 3]}
  count=$((count + 1))
  settings agent.ini "server=$server" "zone=$zone" "listen=127.0.0.1:0" "http=127.0.0.1:0" \
    "engine=http://$FAKES/$kind/$server" "notice=200ms" >"$WORK/$server.ini"
  start "agent-$server" "$BIN/rhubarb-agent" --settings "$WORK/$server.ini"
  register "$server" server "$zone" "$(address "agent-$server" peer)" "$(address "agent-$server" http)"
}
for server in $PREFILLS $DECODES; do start_agent "$server" engine; done
for server in $PLAINS; do start_agent "$server" plain; done

for entry in entry-1 entry-2; do
  zone=${zones[${entry#entry-} % 3]}
  settings entry.ini "name=$entry" "zone=$zone" "listen=127.0.0.1:0" "flush=1s" "notice=200ms" \
    "seeds=$(address agent-yard-1 peer)" >"$WORK/$entry.ini"
  start "$entry" "$BIN/rhubarb-entry" --settings "$WORK/$entry.ini"
  at=$(address "$entry" http)
  register "$entry" entry "$zone" "$at" "$at"
done

settings ctl.ini >"$WORK/ctl.ini"
"$BIN/rhubarb-ctl" apply --settings "$WORK/ctl.ini" --expect 0 examples/list.ini >"$WORK/apply.out"
for name in entry-1 entry-2; do wait_for "$name" is_ready "$(address "$name" http)"; done
for server in $PREFILLS $DECODES $PLAINS; do
  wait_for "agent-$server" is_ready "$(address "agent-$server" http)"
done

if [ "$KEEP" = yes ]; then
  for name in fakes entry-1 entry-2; do
    echo "$name $(cat "$WORK/$name.pid") $(address "$name" http)"
  done
  for server in $PREFILLS $DECODES $PLAINS; do
    echo "agent-$server $(cat "$WORK/agent-$server.pid") $(address "agent-$server" http)"
  done
  echo "caller-key $CALLER_KEY"
  echo ready
  while true; do sleep 1 & wait $!; done
fi

ENTRY=$(address entry-1 http)
OTHER=$(address entry-2 http)
BEARER="Authorization: Bearer $CALLER_KEY"

echo "== list: $(cat "$WORK/apply.out")"
"$BIN/rhubarb-ctl" status --settings "$WORK/ctl.ini"
echo "== streamed completion"
call POST "$ENTRY" /v1/completions \
  '{"model":"clip-models","prompt":"grade lot 7","max_tokens":8,"stream":true}' "$BEARER" | body
echo "== lot confirmation, sent through both entries with one key"
for at in "$ENTRY" "$OTHER"; do
  call POST "$at" /yard-app/confirm '{"lot":7}' "$BEARER" "Idempotency-Key: lot-7" | body
  echo
done
echo "runs of lot-7: $(call GET "$FAKES" /runs/lot-7 "" | body)"
echo "requests held by engines: $(call GET "$FAKES" /held "" | body)"

TODAY=$(date +%s)
report() {
  "$BIN/rhubarb-report" --settings "$WORK/ctl.ini" \
    --from "$(((TODAY - 3600) * 1000))" --to "$(((TODAY + 3600) * 1000))"
}
# A record may end between a prompt and its answer.
both_shown() { [ "$(report | grep -c '^\(clip-models\|yard-app\) .*broker-south *[1-9]')" -ge 2 ]; }
wait_for "the report" both_shown
echo "== report"
report
