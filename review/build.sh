#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder, after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags="-std=c++17 -O1 -g -Wall -Wextra -Wno-unused-parameter -Ilibs -Itests -Ireview"
flags="$flags $(pkg-config --cflags libevent glib-2.0 jansson)"
libs="target/libsnipe_h1.a target/libsnipe_base.a -lhttp_parser"
libs="$libs $(pkg-config --libs libevent glib-2.0 jansson libxxhash)"

for source in tests/support/deployment.cc tests/support/process.cc review/common/rig.cc; do
	# shellcheck disable=SC2086
	c++ $flags -DSNIPE_BUILD_DIR="\"$PWD/target\"" -c "$source" \
		-o "$out/$(basename "$source" .cc).o" &
done
wait
for source in review/[1-5]/case.cc; do
	[ -e "$source" ] || continue
	# shellcheck disable=SC2086
	c++ $flags "$source" "$out/deployment.o" "$out/process.o" "$out/rig.o" $libs \
		-o "$out/case$(basename "$(dirname "$source")")"
done
