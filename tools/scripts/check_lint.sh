#!/usr/bin/env bash
# Runs clang-tidy over every source file, or over the files given as arguments. Needs a configured build folder.
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir="${HORNBEAMGATE_BUILD_DIR:-build}"
if [ $# -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp' ':!examples/embed')
fi
printf '%s\0' "${files[@]}" | xargs -0 -r -n 1 -P "$(nproc)" clang-tidy --quiet --extra-arg=-Wno-unknown-warning-option -p "$build_dir" 2>/dev/null
