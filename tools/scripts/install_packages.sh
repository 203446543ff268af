#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need.
set -euo pipefail
cd "$(dirname "$0")/../.."
if xargs -a tools/scripts/packages.txt dpkg-query -W -f '' 2>/dev/null; then
  exit 0
fi
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
xargs -a tools/scripts/packages.txt apt-get install -y -qq --no-install-recommends >/dev/null
