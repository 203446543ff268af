#!/usr/bin/env bash
# Plays one case of review/11 to review/15: daesan_case.sh SCENARIO FOLDER
# Starts the stand-in and one gateway daemon on loopback, and writes FOLDER/record.txt.
# Exit code: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
# KEEP_LOG names a file for the gateway's log.
set -u
scenario="$1"
folder="$(cd "$2" && pwd)" || exit 2
cd "$(dirname "$0")/.." || exit 2
readonly descriptors=4100 # file-descriptors of the machine
stand_in=review/standins-2/bin/daesan_front
gateway=target/platform/hornbeamgate-gateway
if [ ! -x "$stand_in" ] || [ ! -x "$gateway" ]; then
  echo "build the deploy file and review/build-2.sh first" >&2
  exit 2
fi
if ! ulimit -S -n "$descriptors" 2>/dev/null && [ "$scenario" = endless-heads ]; then
  echo "needs $descriptors descriptors" >&2
  exit 2
fi
directory="$(mktemp -d)"
stand_in_pid=
gateway_pid=
cleanup() {
  # timeout passes the signal on to the stand-in.
  [ -n "$stand_in_pid" ] && kill -TERM "$stand_in_pid" 2>/dev/null
  [ -n "$gateway_pid" ] && kill -KILL "$gateway_pid" 2>/dev/null
  wait 2>/dev/null
  [ -n "${KEEP_LOG:-}" ] && cp "$directory/gateway.log" "$KEEP_LOG"
  rm -rf "$directory"
}
trap cleanup EXIT

timeout -k 2 110 "$stand_in" "$scenario" "$directory" "${TROUBLE:-1}" &
stand_in_pid=$!
for _ in $(seq 100); do
  [ -e "$directory/local.json" ] && break
  sleep 0.1
done
"$gateway" --settings "$directory/local.json" >"$directory/gateway.log" 2>&1 &
gateway_pid=$!
echo "$gateway_pid" >"$directory/gateway.pid.new"
mv "$directory/gateway.pid.new" "$directory/gateway.pid"
wait "$stand_in_pid"
result=$?
[ "$result" -le 1 ] || result=2
cp "$directory/record.txt" "$folder/record.txt" 2>/dev/null || result=2
exit "$result"
