#!/usr/bin/env bash
# Shows a small fleet at work on loopback: builds snipescale, starts the platform stand-in, eight
# nodes with a stand-in backend server each, applies the tables of examples/tui, issues a key,
# sends requests, overloads the fleet, withdraws the key, stops a node gracefully, and stops
# everything it started. The kernel chooses all ports. Takes about a minute after the build.
#   scripts/demo.sh [--keep]    --keep: leaves the fleet running after the requests, until Ctrl-C
set -euo pipefail
cd "$(dirname "$0")/.."
build=${BUILD_DIR:-build}
tables=examples/tui
work=$(mktemp -d)
pids=()
declare -A pid_of
seeds=""

stop_all()
{
	for pid in "${pids[@]}"; do
		kill -TERM "$pid" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" 2>/dev/null || true
	done
	rm -rf "$work"
}
trap stop_all EXIT

say()
{
	printf '\n== %s\n' "$*"
}

# start NAME PROGRAM ARGS...: starts a program and waits for its event=listening line, whose
# pairs go to the array `listening`.
declare -A listening
start()
{
	local name=$1 line="" pair

	shift
	"$build/$1" "${@:2}" >"$work/$name.log" 2>&1 &
	pids+=($!)
	pid_of[$name]=$!
	for _ in $(seq 300); do
		line=$(grep -m 1 'event=listening' "$work/$name.log") && break
		if ! kill -0 "${pid_of[$name]}" 2>/dev/null; then
			break
		fi
		sleep 0.1
	done
	if [ -z "$line" ]; then
		echo "$1 did not start:" >&2
		cat "$work/$name.log" >&2
		exit 1
	fi
	listening=()
	for pair in $line; do
		listening[${pair%%=*}]=${pair#*=}
	done
}

# request ADDRESS METHOD PATH [HEADER...]: prints the status line and the Snipe headers.
request()
{
	local address=$1 method=$2 path=$3 line
	shift 3
	exec 3<>"/dev/tcp/${address%:*}/${address##*:}"
	{
		printf '%s %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n' "$method" "$path"
		for line in "$@"; do
			printf '%s\r\n' "$line"
		done
		printf 'Content-Length: 0\r\n\r\n'
	} >&3
	status=""
	identifier=""
	printf '%-4s %-28s ' "$method" "$path"
	while IFS= read -r line <&3; do
		line=${line%$'\r'}
		[ -z "$status" ] && status=${line#* } && printf '%s' "$status"
		[ -z "$line" ] && break
		case $line in
		Snipe-* | Retry-After*) printf '  %s' "$line" ;;
		esac
	done
	identifier=$(cat <&3)
	exec 3<&-
	printf '\n'
}

# route_path POOL OPEN IDEMPOTENT: method and path of the first such route in routes.toml.
route_path()
{
	awk -v want="$1 $2 $3" '
		function flush() {
			if (found == "" && pool " " open " " idempotent == want)
				found = method " " path
		}
		/^\[\[/ { flush(); pool = open = idempotent = "" }
		{ value = $3; gsub(/"/, "", value) }
		$1 == "method" { method = value }
		$1 == "path" { path = value; sub(/\*$/, "1", path) }
		$1 == "pool" { pool = value }
		$1 == "open" { open = value }
		$1 == "idempotent" { idempotent = value }
		END { flush(); print found }' "$tables/routes.toml"
}

scripts/install_deps.sh
say "Build"
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target snipescaled snipescale fake_platform fake_backend load_generator |
	tail -1

say "Start the platform stand-in and eight nodes, each beside a backend server"
start platform fake_platform --port 0
platform=127.0.0.1:${listening[port]}
domains=(tauranga auckland wellington christchurch)
callers=()
admins=()
n=0
for pool in tips bookings cards reminders; do
	for k in 0 1; do
		id=$pool-$k
		domain=${domains[$((n % 4))]}
		cat >"$work/$id.toml" <<SETTINGS
[node]
id = "$id"
region = "nz"
failure_domain = "$domain"
fleet_secret = "only for this demonstration"
[listen]
callers = "127.0.0.1:0"
local = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
address = "$platform"
[join]
seeds = [$seeds]
SETTINGS
		start "$id" snipescaled --config "$work/$id.toml"
		callers+=("${listening[callers]}")
		admins+=("${listening[admin]}")
		[ -z "$seeds" ] && seeds="\"${listening[peers]}\""
		echo "node $id in $domain: callers ${listening[callers]}, admin ${listening[admin]}"
		start "$id-server" fake_backend --pool "$pool" --node "${listening[local]}" \
			--slots 12 --service-ms 40
		n=$((n + 1))
	done
done

say "Apply the tables of $tables"
"$build/snipescale" apply --platform "$platform" --routes "$tables/routes.toml" \
	--pools "$tables/pools.toml"
workspace=$(awk '/^\[\[workspace\]\]/ { w = 1 } w && $1 == "name" { gsub(/"/, "", $3); print $3; exit }' \
	"$tables/routes.toml")

say "Issue a key for workspace $workspace"
"$build/snipescale" key issue --platform "$platform" --workspace "$workspace" >"$work/key"
key=$(grep -o 'snk_[A-Za-z0-9_-]*' "$work/key" | head -1)
key_id=$(sed -n 's/.*id=\([^ ]*\).*/\1/p' "$work/key" | head -1)
echo "key $key_id issued (the key itself is shown once, here not at all)"

read -r read_method read_path < <(route_path cards false true)
read -r book_method book_path < <(route_path bookings false false)

say "Requests; the first ones wait until the tables and the key are known everywhere"
for address in "${callers[@]}"; do
	for _ in $(seq 200); do
		request "$address" "$read_method" "$read_path" "Snipe-Key: $key" >"$work/answer"
		case $status in 200*) break ;; esac
		sleep 0.1
	done
	cat "$work/answer"
done
for _ in $(seq 200); do
	# The owners of the identifiers act some seconds after the start of the fleet.
	request "${callers[0]}" GET /.snipescale/identifier >/dev/null
	request "${callers[0]}" "$book_method" "$book_path" "Snipe-Key: $key" \
		"Idempotency-Key: $identifier" >/dev/null
	case $status in 200*) break ;; esac
	sleep 0.1
done
request "${callers[0]}" GET /.snipescale/identifier >/dev/null
booking=$identifier
echo "A booking, sent twice with the same identifier through two nodes, runs once:"
request "${callers[0]}" "$book_method" "$book_path" "Snipe-Key: $key" "Idempotency-Key: $booking"
request "${callers[3]}" "$book_method" "$book_path" "Snipe-Key: $key" "Idempotency-Key: $booking"
echo "Without a key, with another workspace's name, on an unknown route:"
request "${callers[1]}" "$read_method" "$read_path" "Snipe-Key: none"
request "${callers[1]}" "$read_method" "$read_path" "Snipe-Key: $key" "Snipe-Workspace: another"
request "${callers[1]}" GET /unknown "Snipe-Key: $key"

if [ "${1-}" = --keep ]; then
	say "The fleet stays up until Ctrl-C"
	echo "platform: $platform"
	echo "callers:  ${callers[0]}"
	echo "admin:    ${admins[0]}"
	echo "key:      $key"
	trap 'exit 0' INT TERM
	wait
fi

say "Overload: base load, a surge of ten times that, base load again"
targets=$(printf '"%s",' "${callers[@]}")
cat >"$work/load.json" <<LOAD
{"targets": [${targets%,}], "timeout_ms": 1500,
 "phases": [{"name": "base", "seconds": 4, "factor": 1},
            {"name": "surge", "seconds": 4, "factor": 10},
            {"name": "after", "seconds": 4, "factor": 1}],
 "workspaces": [{"name": "$workspace", "key": "$key", "load": 100}],
 "routes": [{"method": "$read_method", "path": "$read_path", "weight": 3},
            {"method": "$book_method", "path": "$book_path", "identifier": true}]}
LOAD
"$build/load_generator" --table "$work/load.json"

say "Stop one node gracefully"
kill -TERM "${pid_of[tips-1]}"
if wait "${pid_of[tips-1]}"; then
	echo "node tips-1 ended with status 0"
else
	echo "node tips-1 ended with status $?"
fi
request "${callers[0]}" "$read_method" "$read_path" "Snipe-Key: $key"

say "Withdraw the key"
"$build/snipescale" key withdraw --platform "$platform" --id "$key_id"
begin=$(date +%s%N)
for _ in $(seq 200); do
	request "${callers[0]}" "$read_method" "$read_path" "Snipe-Key: $key" >"$work/answer"
	case $status in 401*) break ;; esac
	sleep 0.1
done
cat "$work/answer"
echo "rejected after $((($(date +%s%N) - begin) / 1000000)) ms"

say "Done; stopping everything that was started"
