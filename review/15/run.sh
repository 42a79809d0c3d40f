#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0: the same without the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case-$(basename "$here")
if [ ! -x "$program" ] || [ ! -x target/snipescaled ]; then
	echo "build with the command of deploy/system.toml and review/build-3.sh first" >&2
	exit 2
fi
timeout -k 5 110 "$program" "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
