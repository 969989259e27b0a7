#!/usr/bin/env bash
# Runs case 5: exits with 1 if the rule was broken, 0 if it held, and 2 if the
# case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
cd "$(dirname "$0")/../.."
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 110 review/build/case-5 "$folder"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
