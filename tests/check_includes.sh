#!/bin/sh
# Checks that each library includes only the libraries that docs/design.md allows.
set -eu
cd "$(dirname "$0")/.."
status=0
for line in $(sed -n 's/^    \(base\|config\|core\|wire\|platform\|h1\|node\|gateway\|programs\): \(.*\)$/\1:\2/p' \
		docs/design.md | tr ' ' ','); do
	lib=${line%%:*}
	allowed=",${line#*:},$lib,"
	dir=libs/$lib
	[ "$lib" = programs ] && dir=programs
	for inc in $(grep -rhoE '#include "[a-z0-9]+/' "$dir" | sed 's/.*"//; s,/,,' | sort -u); do
		case $allowed in
		*,$inc,*) ;;
		*)
			echo "$dir includes libs/$inc, which docs/design.md does not allow"
			status=1
			;;
		esac
	done
done
if grep -rlE '#include <(event2|sys/socket|netinet)' libs/core; then
	echo "libs/core must not include libevent or socket headers"
	status=1
fi
exit $status
