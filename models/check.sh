#!/usr/bin/env bash
# Checks every model with spin to completion, that all its code is reached, and that each broken
# variant violates an assertion.
#   models/check.sh [model name]
set -euo pipefail
models=$(cd "$(dirname "$0")" && pwd)
work=$(mktemp -d)
trap 'cd /; rm -rf "$work"' EXIT
cd "$work"
status=0

# Runs one model with the given macros. The search is exhaustive: no bitstate hashing, and a search
# that reaches the depth or the memory limit counts as incomplete.
run_pan() {
	rm -f pan* ./*.trail
	if ! spin -a "$@" >spin.out 2>&1 || ! gcc -O1 -w -DSAFETY -DMEMLIM=2048 -o pan pan.c; then
		cat spin.out
		return
	fi
	./pan -m1000000 >pan.out 2>&1 || true
}

# Prints "pass", "refuted", "unreached" or "incomplete" for the last run. Only a violated assertion
# refutes; an invalid end state is a fault of the model.
verdict() {
	if [ ! -s pan.out ] ||
		grep -qE 'max search depth too small|out of memory|memory limit|aborting' pan.out; then
		echo incomplete
	elif grep -q 'assertion violated' pan.out; then
		echo refuted
	elif ! grep -q 'errors: 0' pan.out || grep -q 'Search not completed' pan.out; then
		echo incomplete
	elif grep -E '^\s.*, state [0-9]+, ' pan.out | grep -qv '"-end-"$'; then
		echo unreached
	else
		echo pass
	fi
}

# Prints what the sed script extracts from the output of the last run.
extract() {
	sed -n "$1" pan.out 2>/dev/null || true
}

# check <expected verdict> <description> <spin arguments>
check() {
	local expected=$1 what=$2 got states seconds assertion
	shift 2
	run_pan "$@"
	got=$(verdict)
	states=$(extract 's/^ *\([0-9.e+]*\) states, stored.*/\1/p')
	seconds=$(extract 's/^pan: elapsed time \([0-9.]*\) .*/\1/p')
	assertion=$(extract 's/^pan:1: assertion violated \(.*\) (at depth.*/: \1/p')
	if [ "$expected" = "$got" ]; then
		echo "ok   $what: $got$assertion ($states states, $seconds s)"
	else
		echo "FAIL $what: expected $expected, got $got$assertion (${states:-no} states)"
		extract p
		status=1
	fi
}

found=0
for model in "$models"/${1:-*}.pml; do
	[ -e "$model" ] || continue
	found=1
	name=$(basename "$model" .pml)
	check pass "$name" "$model"
	for variant in $(grep -o 'BROKEN_[A-Z_]*' "$model" | sort -u); do
		check refuted "$name with $variant" "-D$variant" "$model"
	done
done
if [ "$found" = 0 ]; then
	echo "no model named ${1:-}" >&2
	exit 2
fi
exit $status
