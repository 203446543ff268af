#!/usr/bin/env bash
exec "$(dirname "$0")/../daesan_case.sh" last-tenant "$(dirname "$0")"
