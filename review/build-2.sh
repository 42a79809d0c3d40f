#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 in target/review-2. Needs a C++
# compiler and jansson, as the build of the deploy file does.
set -euo pipefail
cd "$(dirname "$0")"
out=../target/review-2
mkdir -p "$out"
flags=(-std=c++17 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" -c 6/fleet.cc -o "$out/fleet.o"
for number in 6 7 8 9 10; do
	source=$number/case.cc
	[ -f "$source" ] || continue
	name=case-$number
	g++ "${flags[@]}" "$source" "$out/fleet.o" -o "$out/$name" -ljansson
done
