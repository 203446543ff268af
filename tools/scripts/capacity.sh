#!/usr/bin/env bash
# Runs the measuring programs and writes docs/CAPACITY.md from their slopes. Takes several minutes.
set -euo pipefail
cd "$(dirname "$0")/../.."
bench="${HORNBEAMGATE_BUILD_DIR:-build}/bench"
lines="$(mktemp)"
page="$(mktemp)"
trap 'rm -f "$lines" "$page"' EXIT
{
  "$bench/config/bench-config"
  "$bench/bookings/bench-bookings"
  "$bench/streams/bench-streams"
  "$bench/link/bench-link"
  "$bench/routing/bench-routing" growth
  "$bench/rates/bench-rates" traffic
  "$bench/rates/bench-rates" appends
  "$bench/rates/bench-rates" state
  "$bench/membership/bench-membership" 30 60 120
} | grep '^{' >"$lines"
"$bench/capacity/capacity-report" <"$lines" >"$page"
cp "$page" docs/CAPACITY.md
