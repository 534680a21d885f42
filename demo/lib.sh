# Functions for the demo and for tests: start stand-ins and nodes in the
# background, and end exactly these, by process id.
# shellcheck shell=bash
top=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
run=${RUN_DIR:-$top/demo/run}
standin=$top/build/standin
admin_key=demo-operator # bootstrap key of the demo's nodes
pids=()

# wait_file FILE: wait until FILE has content, at most 10 s.
wait_file() {
	for _ in $(seq 1000); do
		[ -s "$1" ] && return 0
		sleep 0.01
	done
	echo "$1 was not written within 10 s" >&2
	return 1
}

# start NAME PROGRAM ARGS...: run PROGRAM in the background and wait for its
# port, in $run/NAME.port; its process id and log are in NAME.pid and NAME.log.
start() {
	local name=$1
	shift
	rm -f "$run/$name.port"
	"$@" --port-file "$run/$name.port" 2>"$run/$name.log" &
	echo $! >"$run/$name.pid"
	pids+=($!)
	wait_file "$run/$name.port"
}

port() { cat "$run/$1.port"; }
pid() { cat "$run/$1.pid"; }

# settings NAME ZONE: write a node's settings file.
settings() {
	cat >"$run/$1.conf" <<-EOF
		[node]
		name = $1
		zone = $2
		port = 0
		[platform]
		table = http://127.0.0.1:$(port platform)
		poll = 100
		[entries]
		valid = 500
		spread = 500
		[admin]
		bootstrap_hash = $("$top/bin/rampctl" hash-key <<<"$admin_key")
	EOF
}

# wait_ready NAME: wait until the node has its configuration, at most 10 s.
wait_ready() {
	for _ in $(seq 200); do
		"$standin/call" GET "http://127.0.0.1:$(port "$1")/ready" \
			>/dev/null && return 0
		sleep 0.05
	done
	echo "node $1 was not ready within 10 s" >&2
	return 1
}

# ramp ARGS...: run rampctl with the bootstrap key and all nodes started so far.
ramp() {
	local nodes=() f
	for f in "$run"/n[0-9]*.port; do
		nodes+=(--node "127.0.0.1:$(cat "$f")")
	done
	RAMP_KEY=$admin_key "$top/bin/rampctl" "${nodes[@]}" "$@"
}

stop_all() {
	for p in "${pids[@]}"; do
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
}
