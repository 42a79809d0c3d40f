#!/usr/bin/env bash
# Runs the unit and state tests under the address and undefined-behaviour sanitizers.
#   scripts/sanitize.sh [ctest options]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${ASAN_BUILD_DIR:-build-asan}
jobs=$(nproc)

cmake -S . -B "$build" -G Ninja -DSNIPE_SANITIZE=address,undefined \
	-DSNIPE_PROCESS_TESTS=OFF -DSNIPE_BENCH=OFF -DCMAKE_BUILD_TYPE=Debug >/dev/null
cmake --build "$build" -j "$jobs"
known_red=$(scripts/known_red.sh)
ctest --test-dir "$build" -j $((jobs / 2)) \
	-E "^(process_|model_|fuzz|include_rules${known_red:+|$known_red})" \
	--output-on-failure "$@"
