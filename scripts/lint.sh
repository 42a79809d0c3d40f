#!/usr/bin/env bash
# Checks the format and runs the linters on product code and tests.
#   scripts/lint.sh [build directory]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

cmake -S . -B "$build" -G Ninja >/dev/null
git ls-files -co --exclude-standard '*.c' '*.h' '*.cc' | xargs clang-format --dry-run --Werror
git ls-files -co --exclude-standard 'libs/*.c' 'platform/*.c' 'programs/*.c' |
	xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$build" 2>/dev/null
cppcheck --quiet --error-exitcode=1 --enable=warning,portability --inline-suppr \
	--suppress=missingIncludeSystem --std=c11 -j "$(nproc)" -I libs -I platform libs platform programs
