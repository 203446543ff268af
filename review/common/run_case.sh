# Runs the program of the case whose folder is $1. Sourced by the scripts of the cases.
set -uo pipefail
case_folder="$(cd "$1" && pwd)"
cd "$case_folder/../.." || exit 2
number="$(basename "$case_folder")"
program="target/review/case-$number"
if [ ! -x "$program" ] || [ ! -x target/platform/hornbeamgate-gateway ]; then
  echo "run the build command of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
timeout --kill-after=5 110 "$program" "$scratch" "$case_folder" &
child=$!
trap 'kill "$child"' INT TERM
wait "$child"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
