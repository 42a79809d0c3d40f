#!/usr/bin/env bash
# Prints the failed tests of the last run of ctest, and of each the failed cases with their
# messages.
#   scripts/print_failures.sh [build directory]
set -euo pipefail
logs=${1:-build}/Testing/Temporary
message_lines=12

[ -s "$logs/LastTestsFailed.log" ] || exit 0
echo "Failed tests:"
cut -d : -f 2- "$logs/LastTestsFailed.log" | while read -r name; do
	echo "== $name"
	awk -v name="$name" -v lines="$message_lines" '
		$2 == "Test:" { is_shown = $3 == name; left = 0; running = "" }
		!is_shown { next }
		/^\[ RUN / { running = $0 }
		/^\[ .* ms\)$/ { running = "" }
		/^Test time/ && running != "" { print running ": did not end" }
		/: Failure$/ { left = lines }
		/^\[/ && !/FAILED/ { left = 0 }
		left > 0 || /^\[  FAILED  \]/ || /^BROKEN / || /^Test time/ {
			print
			left--
		}' "$logs/LastTest.log"
done
