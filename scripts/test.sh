#!/usr/bin/env bash
# Checks format and style, builds the project and runs all tests.
#   scripts/test.sh [ctest options]
# Tests listed in KNOWN-RED.txt are run first and printed, and do not change the result.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
jobs=$(nproc)

scripts/lint.sh "$build"
cmake --build "$build" -j "$jobs"
scripts/sanitize.sh

run_tests() {
	if ! ctest --test-dir "$build" -j "$jobs" --output-on-failure "$@"; then
		scripts/print_failures.sh "$build"
		return 1
	fi
}

known_red=$(scripts/known_red.sh)
if [ -n "$known_red" ]; then
	echo "Known failures, see KNOWN-RED.txt (the result is not affected):"
	ctest --test-dir "$build" -R "^($known_red)\$" --output-on-failure || true
	run_tests -E "^($known_red)\$" "$@"
else
	run_tests "$@"
fi
