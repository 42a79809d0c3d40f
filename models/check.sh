#!/usr/bin/env bash
# Checks every model with spin to completion, and that each broken variant is refuted.
#   models/check.sh [model name]
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'cd /; rm -rf "$work"' EXIT
cd "$work"
status=0

# Prints "pass", "refuted" or "incomplete" for one model with the given macros.
verify() {
	rm -f pan*
	spin -a "$@" >/dev/null
	gcc -O2 -w -DSAFETY -DMEMLIM=6144 -o pan pan.c
	./pan -m1000000 >pan.out 2>&1 || true
	if grep -q 'errors: [1-9]' pan.out; then
		echo refuted
	elif grep -qE 'max search depth too small|out of memory|Search not completed' pan.out; then
		echo incomplete
	elif grep -q 'errors: 0' pan.out; then
		echo pass
	else
		echo incomplete
	fi
}

report() {
	local expected=$1 got=$2 what=$3
	local states
	states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' pan.out)
	if [ "$expected" = "$got" ]; then
		echo "ok   $what: $got ($states states)"
	else
		echo "FAIL $what: expected $expected, got $got ($states states)"
		status=1
	fi
}

for model in "$models"/${1:-*}.pml; do
	name=$(basename "$model" .pml)
	report pass "$(verify "$model")" "$name"
	for variant in $(grep -o 'BROKEN_[A-Z_]*' "$model" | sort -u); do
		report refuted "$(verify "-D$variant" "$model")" "$name with $variant"
	done
done
exit $status
