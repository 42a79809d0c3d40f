#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-2/case-$(basename "$here")
[ -x "$program" ] || { echo "$program is missing; run review/build-2.sh" >&2; exit 2; }
exec timeout -k 1 115 "$program" "$here/record.txt"
