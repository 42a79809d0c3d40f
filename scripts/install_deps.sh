#!/usr/bin/env bash
# Installs the Debian packages that the project needs to build, check and test; does nothing
# when all of them are there.
set -euo pipefail

packages=(build-essential cmake ninja-build pkg-config clang clang-format clang-tidy cppcheck
	libevent-dev libhttp-parser-dev libmsgpack-dev libglib2.0-dev libtomlplusplus-dev libjansson-dev libxxhash-dev
	libgtest-dev librapidcheck-dev libclang-rt-14-dev spin)
if ! dpkg -s "${packages[@]}" >/dev/null 2>&1; then
	if [ "$(id -u)" -ne 0 ]; then
		echo "Missing packages; run as root: apt-get install -y ${packages[*]}" >&2
		exit 1
	fi
	apt-get update
	apt-get install -y --no-install-recommends "${packages[@]}"
fi
