#!/usr/bin/env bash
# Builds the programs of the third review's scripts, with their stand-ins, into target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/case.cc; do
	number=$(basename "$(dirname "$source")")
	g++ -std=c++17 -O2 -g -Wall -Wextra -pthread -Ireview "$source" -o "target/review-3/case-$number"
done
