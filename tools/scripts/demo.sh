#!/usr/bin/env bash
# Shows the whole path on loopback: builds, starts stand-ins and daemons, publishes rules, sends requests, stops all.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir="${HORNBEAMGATE_BUILD_DIR:-build}"
programs="$build_dir/src/programs"
standins="$build_dir/tools/standins"
work_dir="$(mktemp -d)"
pepper="only for the demonstration"
wait_seconds=30
started=()

# Ends what this script started, and nothing else.
stop_all() {
  local status=$?
  trap - EXIT
  for pid in "${started[@]}"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "${started[@]}"; do
    wait "$pid" 2>/dev/null || true
  done
  if [ "$status" -ne 0 ]; then
    echo "demo failed; last lines of each process:" >&2
    tail -n 5 "$work_dir"/*.out >&2 || true
  fi
  rm -rf "$work_dir"
  exit "$status"
}
trap stop_all EXIT
trap 'exit 130' INT TERM

say() {
  printf '\n== %s\n' "$*"
}

# start NAME PROGRAM ARGUMENTS...: starts a process whose output goes to NAME.out.
start() {
  local name="$1"
  shift
  "$@" >"$work_dir/$name.out" 2>&1 &
  started+=("$!")
}

# address NAME [WHAT]: the address that process NAME printed, for a daemon that of WHAT.
address() {
  local pattern='^listening=\([0-9.:]*\)$'
  if [ $# -gt 1 ]; then
    pattern="^listening=$2 address=\\([0-9.:]*\\)\$"
  fi
  local tries=$((wait_seconds * 10))
  while [ "$tries" -gt 0 ]; do
    local found
    found="$(sed -n "s/$pattern/\\1/p" "$work_dir/$1.out" | head -n 1)"
    if [ -n "$found" ]; then
      echo "$found"
      return
    fi
    sleep 0.1
    tries=$((tries - 1))
  done
  echo "$1 did not say where it listens" >&2
  return 1
}

# settings NAME EXTRA: settings file of the daemon on host NAME; EXTRA holds the members of its own.
settings() {
  cat >"$work_dir/$1.json" <<JSON
{
  "host": "$1",
  "data_center": "postojna",
  "region": "notranjska",
  "link": "127.0.0.1:0", // port 0: the kernel chooses
  "admin": "127.0.0.1:0",
  "platform": { "log": "$platform", "hosts": "$platform", "weights": "$platform" },
  $2
}
JSON
  echo "$work_dir/$1.json"
}

# register NAME ROLE ADDRESS: what the platform does when it places a host.
register() {
  curl -sS -f -o /dev/null -X POST "http://$platform/hosts" -d "{\"host\":\"$1\",\"address\":\"$3\",
    \"data_center\":\"postojna\",\"region\":\"notranjska\",\"role\":\"$2\"}"
}

start_agent() {
  start "$1" "$programs/hornbeamgate-agent" --settings "$(settings "$1" "$2")"
  register "$1" agent "$(address "$1" link)"
}

ctl() {
  "$programs/hornbeamctl" --log "http://$platform" --as Ana "$@"
}

# issue_key WORKSPACE: prints the secret of a new key.
issue_key() {
  ctl key issue "$1" --name "$1-1" --pepper-file "$work_dir/pepper" | sed -n 's/^secret //p'
}

# ask KEY PATH BODY [CURL ARGUMENTS]: sends a POST and prints the status line and the body.
ask() {
  local key="$1" path="$2" body="$3"
  shift 3
  curl -sS -N --max-time "$wait_seconds" -X POST "http://$callers$path" -H "Authorization: Bearer $key" \
    -H 'Content-Type: application/json' -d "$body" -w '\n[status %{http_code}]\n' "$@"
}

# expect STATUS COMMAND...: runs the command, prints its output and fails unless it got that status.
expect() {
  local status="$1" output
  shift
  output="$("$@")"
  printf '%s\n' "$output"
  if [[ "$output" != *"[status $status]"* ]]; then
    echo "expected status $status" >&2
    return 1
  fi
}

# expect_soon STATUS COMMAND...: repeats the command without its output until it got that status.
expect_soon() {
  local status="$1" tries=$((wait_seconds * 5))
  shift
  until [[ "$("$@" 2>&1)" == *"[status $status]"* ]]; do
    tries=$((tries - 1))
    if [ "$tries" -eq 0 ]; then
      echo "status $status never came; last: $("$@" 2>&1)" >&2
      return 1
    fi
    sleep 0.2
  done
}

say "build"
tools/scripts/install_packages.sh
tools/scripts/build.sh

say "start the stand-ins: platform, two engines, a service"
start platform "$standins/standin-platform"
start engine-1 "$standins/standin-engine" --model karst-8b:1 --ms-per-token 20
start engine-2 "$standins/standin-engine" --model karst-8b:1 --ms-per-token 20
start rota-1 "$standins/standin-service"
platform="$(address platform)"

say "start an agent beside each endpoint, and the entry daemon"
for number in 1 2; do
  start_agent "engine-host-$number" "\"endpoint\": { \"id\": \"engine-$number\", \"kind\": \"engine\", \"address\": \"$(address "engine-$number")\" }"
done
start_agent "rota-host-1" "\"endpoint\": { \"id\": \"rota-1\", \"kind\": \"service\", \"service\": \"rota\", \"address\": \"$(address rota-1)\" }"
start entry-1 "$programs/hornbeamgated" --settings "$(settings entry-1 "\"callers\": \"127.0.0.1:0\", \"key_pepper\": \"$pepper\"")"
callers="$(address entry-1 callers)"
register entry-1 entry "$(address entry-1 link)"
printf '%s\n' "$pepper" >"$work_dir/pepper"

say "publish the rules"
cat >"$work_dir/rules.txt" <<'RULES'
# version 0
workspace vodnjak requests=50/s burst=100 tokens=20000/s token-burst=40000  # Ana, for the four utilities
workspace daesan requests=1/s burst=2 tokens=20000/s token-burst=40000      # Min, night shift only
model karst-8b weights=1                                                   # Ana
engine engine-1 host=engine-host-1 models=karst-8b                         # Ana
engine engine-2 host=engine-host-2 models=karst-8b                         # Ana
service rota idempotent=no                                                 # Ana
endpoint rota-1 service=rota host=rota-host-1                              # Ana
RULES
ctl check "$work_dir/rules.txt"
ctl publish "$work_dir/rules.txt"
vodnjak_key="$(issue_key vodnjak)"
daesan_key="$(issue_key daesan)"
ctl show

question='{"model":"karst-8b","max_tokens":8,"stream":true,"messages":[{"role":"user","content":"Which haul is next?"}]}'
say "wait until the entry daemon knows rules, keys and endpoints"
expect_soon 200 ask "$vodnjak_key" /v1/chat/completions "$question"
expect_soon 200 ask "$vodnjak_key" /services/rota/ready '{}' -H 'Idempotency-Key: ready'

say "a streamed request"
expect 200 ask "$vodnjak_key" /v1/chat/completions "$question"

say "a booking, sent twice under one idempotency key"
expect 200 ask "$vodnjak_key" /services/rota/hauls '{"village":"Gorenje"}' -H 'Idempotency-Key: haul-7'
expect 200 ask "$vodnjak_key" /services/rota/hauls '{"village":"Gorenje"}' -H 'Idempotency-Key: haul-7'
echo "runs at the service: $(curl -sS "http://$(address rota-1)/count")"

say "a key that nobody issued is refused"
expect 401 ask hbg_unknown /v1/chat/completions "$question"

say "a workspace over its rate is refused, and told when to come back"
short='{"model":"karst-8b","max_tokens":1,"prompt":"level?"}'
expect_soon 429 ask "$daesan_key" /v1/completions "$short"
expect 429 ask "$daesan_key" /v1/completions "$short" -D "$work_dir/headers"
grep -i '^retry-after' "$work_dir/headers"

say "a withdrawn key is refused within seconds"
ctl key withdraw daesan-1
expect_soon 401 ask "$daesan_key" /v1/completions "$short"
expect 401 ask "$daesan_key" /v1/completions "$short"

say "the entry daemon drains and stops, then the agents, then the stand-ins"
for ((index = ${#started[@]} - 1; index >= 0; index--)); do
  kill -TERM "${started[index]}"
  wait "${started[index]}"
done
started=()
echo "all processes ended with 0"
