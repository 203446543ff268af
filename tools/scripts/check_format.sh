#!/usr/bin/env bash
# Fails when a source file is not formatted; with --fix formats it instead.
set -euo pipefail
cd "$(dirname "$0")/../.."
mode=(--dry-run --Werror)
if [ "${1:-}" = "--fix" ]; then
  mode=(-i)
fi
git ls-files -z --cached --others --exclude-standard '*.cpp' '*.hpp' | xargs -0 -r clang-format "${mode[@]}"
