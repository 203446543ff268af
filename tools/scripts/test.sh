#!/usr/bin/env bash
# Installs packages where they are missing, builds everything and runs all tests.
set -euo pipefail
cd "$(dirname "$0")/../.."
tools/scripts/install_packages.sh
tools/scripts/build.sh
build_dir="${HORNBEAMGATE_BUILD_DIR:-build}"
if [ -s KNOWN-RED.txt ]; then
  echo "== known to fail, does not decide the result"
  cat KNOWN-RED.txt
  ctest --test-dir "$build_dir" --output-on-failure -L known-red || true
  echo "== all other tests"
fi
ctest --test-dir "$build_dir" --output-on-failure -LE known-red -j "$(nproc)"
