#!/usr/bin/env bash
# Builds the programs of the cases, with their stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/[0-9]/case.cpp; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/case-$number" "$source" review/common/testbed.cpp
done
