#!/usr/bin/env bash
exec "$(dirname "$0")/../daesan_case.sh" unreadable-report "$(dirname "$0")"
