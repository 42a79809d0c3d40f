#!/usr/bin/env bash
# Runs each fuzz target for a fixed number of inputs under the address and undefined-behaviour
# sanitizers, from the checked-in corpus.
#   scripts/fuzz.sh [inputs for each target]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
build=${FUZZ_BUILD_DIR:-build-fuzz}

CC=clang CXX=clang++ cmake -S . -B "$build" -G Ninja -DSNIPE_TESTS=OFF -DSNIPE_FUZZ=ON \
	-DSNIPE_SANITIZE=address,undefined >/dev/null
cmake --build "$build" --target fuzz_targets
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
for program in "$build"/fuzz/*_fuzz; do
	name=$(basename "$program" _fuzz)
	mkdir -p "$work/$name"
	echo "fuzz target $name: $runs inputs"
	"$program" -runs="$runs" -seed=1 -max_len=4096 -verbosity=0 -print_final_stats=1 \
		-artifact_prefix="$work/" "$work/$name" "tests/fuzz/corpus/$name" 2>&1 |
		grep -E 'stat::number_of_executed_units|ERROR|SUMMARY|runtime error' || true
	test "${PIPESTATUS[0]}" -eq 0
done
