#!/usr/bin/env bash
# Installs the built libraries into a temporary folder and builds a project against them.
set -euo pipefail
cd "$(dirname "$0")/../.."
work_dir="$(mktemp -d)"
trap 'rm -rf "$work_dir"' EXIT
cmake --install "${HORNBEAMGATE_BUILD_DIR:-build}" --prefix "$work_dir/installed" >/dev/null
cmake -S examples/embed -B "$work_dir/embed" -G Ninja -DCMAKE_CXX_COMPILER=g++ -DCMAKE_PREFIX_PATH="$work_dir/installed" >/dev/null
cmake --build "$work_dir/embed" >/dev/null
"$work_dir/embed/embed"
