#!/usr/bin/env bash
# Configures and builds everything into build/ (or $HORNBEAMGATE_BUILD_DIR).
set -euo pipefail
cd "$(dirname "$0")/../.."
build_dir="${HORNBEAMGATE_BUILD_DIR:-build}"
launcher=()
if command -v ccache >/dev/null; then
  launcher=(-DCMAKE_CXX_COMPILER_LAUNCHER=ccache)
fi
cmake -S . -B "$build_dir" -G Ninja -DCMAKE_CXX_COMPILER=g++ "${launcher[@]}" >/dev/null
cmake --build "$build_dir"
