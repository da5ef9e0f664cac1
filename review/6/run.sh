#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/review/standins-2/target/release/review-standins-2"
[ -x "$program" ] && [ -x "$root/target/release/tarragon-gateway" ] || exit 2
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
timeout -k 5 110 "$program" early-answer "$root" "$scratch" "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
