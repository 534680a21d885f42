#!/bin/bash
# Tests of rampctl with three nodes and a stand-in platform: every command and
# every exit code.
RUN_DIR=$(mktemp -d)
export RUN_DIR
. "$(dirname "$0")/../demo/lib.sh"
trap 'stop_all; rm -rf "$RUN_DIR"' EXIT
exec 3>&2 2>"$run/stderr"
tests=0
failures=0

# check NAME COMMAND...: run a test and print its TAP line; if it failed, the
# last output goes to standard error.
check() {
	local name=$1
	shift
	tests=$((tests + 1))
	if "$@" >>"$run/output" 2>&1; then
		echo "ok $tests /ctl/rampctl/$name"
	else
		echo "not ok $tests /ctl/rampctl/$name"
		failures=$((failures + 1))
		tail -n 5 "$run/output" "$run/out" "$run/err" >&3
	fi
}

# exits CODE ARGS...: run rampctl and succeed if its exit code is CODE. Its
# output is in $run/out and $run/err.
exits() {
	local want=$1 got
	shift
	ramp "$@" >"$run/out" 2>"$run/err"
	got=$?
	[ $got = "$want" ] || echo "rampctl $*: exit $got, not $want"
	[ $got = "$want" ]
}

says() { grep -qF -- "$1" "$run/out" "$run/err"; }
never_says() { ! says "$1"; }

service() { # NAME POOL [VERSION]
	printf '{"kind":"service","name":"%s","spec":{"kind":"model",' "$1"
	printf '"pool":"%s"}%s}' "$2" "${3:+,\"version\":$3}"
}

put() { # CODE JSON ARGS...
	local code=$1
	echo "$2" >"$run/resource.json"
	shift 2
	exits "$code" put -f "$run/resource.json" "$@"
}

faults() {
	"$standin/call" PUT "http://127.0.0.1:$(port platform)/standin/faults" \
		"$1"
}

instance() {
	printf '{"name":"%s","role":"node","zone":"a","region":"local",' "$1"
	printf '"state":"live","address":"127.0.0.1:%s"}' "$(port "$1")"
}

start platform "$standin/platform" || exit 1
for n in n1 n2 n3; do
	settings $n a
	start $n "$top/bin/auburnramp" --settings "$run/$n.conf" || exit 1
done
"$standin/call" PUT "http://127.0.0.1:$(port platform)/standin/instances" \
	"[$(instance n1),$(instance n2),$(instance n3)]" >/dev/null
for n in n1 n2 n3; do
	wait_ready $n || exit 1
done

check_put() {
	put 0 "[$(service a p),$(service b p)]" --wait &&
		says "$(printf '\tservice\ta\t1\t1\t1')" &&
		says "$(printf 'in-force\t2\t3\t3')"
}
check put check_put

check_get() {
	exits 0 get service a &&
		says "$(printf 'service\ta\t1\t1\t{"kind":"model","pool":"p"}')" &&
		exits 0 get services && [ "$(wc -l <"$run/out")" = 2 ]
}
check get check_get

# put accepts the output of get, with its version as the precondition.
check_round_trip() {
	exits 0 get service a --json && sed 's/"p"/"q"/' "$run/out" >"$run/edit" &&
		exits 0 put -f "$run/edit" && exits 0 get service a &&
		says '"pool":"q"' && exits 3 put -f "$run/edit" &&
		says 'present version: 3'
}
check round-trip check_round_trip

check_refused() {
	put 1 '{"kind":"service","name":"c","spec":{"kind":"x","poll":1}}' &&
		says 'kind: one of' && says 'poll: unknown' &&
		says 'pool: required' &&
		put 2 '{"kind":"servant","name":"c","spec":{}}' &&
		put 2 '{"kind":' && put 3 "$(service a z)" &&
		put 0 "$(service a z)" --force
}
check refused check_refused

check_usage() {
	exits 2 frobnicate && exits 2 get && exits 2 delete service a &&
		exits 2 put && exits 2 get service a --bogus &&
		exits 0 --help && says check-settings
}
check usage check_usage

check_absent() {
	exits 4 get service none && exits 4 changes none &&
		exits 4 delete service none --force && exits 4 drain none
}
check absent check_absent

check_key() {
	admin_key=wrong exits 1 get services && says unauthorized &&
		echo "$admin_key" >"$run/key" &&
		RAMP_KEY=wrong "$top/bin/rampctl" --key-file "$run/key" \
			--node "127.0.0.1:$(port n1)" get services &&
		[ "$("$top/bin/rampctl" hash-key "$run/key")" = \
			"$("$standin/keyhash" "$admin_key")" ]
}
check key check_key

check_no_node() {
	RAMP_KEY=k "$top/bin/rampctl" --node 127.0.0.1:1 put \
		-f "$run/resource.json"
	[ $? = 6 ] && { "$top/bin/rampctl" get services; [ $? = 2 ]; }
}
check no-node check_no_node

# A change whose response is lost has an unknown outcome. It can be looked up
# once the store is back, and resending it under its id makes it only once.
check_unknown() {
	local id
	faults '{"cut":true}' && put 5 "$(service u p)" &&
		id=$(sed -n 's/.*rampctl changes \([0-9a-f]*\).*/\1/p' "$run/err") &&
		exits 1 changes "$id" && faults '{}' &&
		exits 0 changes "$id" && says "$id" &&
		put 0 "$(service u p)" --change "$id" && exits 0 changes &&
		[ "$(grep -c "$id" "$run/out")" = 1 ]
}
check unknown check_unknown

check_lost() {
	faults '{"lose":1}' && put 0 "$(service l p)" && faults '{}' &&
		exits 0 changes && [ "$(grep -c "$(printf '\tl\t')" "$run/out")" = 1 ]
}
check lost-answer check_lost

check_down() {
	faults '{"down":true}' && put 1 "$(service d p)" &&
		says store_down && faults '{}' && exits 4 get service d
}
check store-down check_down

check_changes() {
	exits 0 changes --after 2 && says "$(printf '3\t')" &&
		says '127.0.0.1' && says 'bootstrap/operator' &&
		never_says "$(printf '\tservice\tb\t')"
}
check changes check_changes

check_status() {
	exits 0 status && [ "$(grep -c true "$run/out")" = 3 ] &&
		exits 0 status service a &&
		says "$(printf 'service\ta\t4\t3\t3\t3\t')"
}
check status check_status

# A watch resumes through the next node, without loss, when its node is killed.
check_watch() {
	local first last
	first=$(($(ramp changes | tail -n 1 | cut -f 1) + 1))
	last=$((first + 5))
	ramp watch services --after $((first - 1)) --count 6 >"$run/watched" &
	local watcher=$!
	for i in 1 2 3; do put 0 "$(service w "p$i")" --force || return 1; done
	until [ "$(wc -l <"$run/watched")" = 3 ]; do sleep 0.05; done
	kill -KILL "$(pid n1)"
	for i in 4 5 6; do put 0 "$(service w "p$i")" --force || return 1; done
	wait $watcher &&
		[ "$(cut -f 1 "$run/watched")" = "$(seq $first $last)" ]
}
check watch check_watch

# n1 is dead but still in the instance list, so the wait must time out.
check_not_in_force() {
	put 7 "$(service f p)" --wait --timeout 1 && says 'not in force'
}
check not-in-force check_not_in_force

check_delete() {
	exits 0 get service b && exits 3 delete service b --version 1 &&
		exits 0 delete service b --version 2 && exits 4 get service b
}
check delete check_delete

check_drain() {
	exits 0 drain n2 && wait "$(pid n2)" && exits 0 get services
}
check drain check_drain

check_settings() {
	cat >"$run/bad.conf" <<-EOF
		[node]
		name = a
		zone = z
		port = 70000
		colour = red
		[platform]
		table = http://127.0.0.1:1
		poll = soon
		[log]
		level = loud
	EOF
	"$top/bin/rampctl" check-settings "$run/bad.conf" 2>"$run/err1"
	[ $? = 2 ] || return 1
	"$top/bin/auburnramp" --check --settings "$run/bad.conf" 2>"$run/err2"
	[ $? = 2 ] && cmp "$run/err1" "$run/err2" &&
		[ "$(wc -l <"$run/err1")" = 4 ] &&
		grep 'bad.conf:4: node.port: .*0 to 65535' "$run/err1" &&
		grep 'bad.conf:5: node.colour: unknown key' "$run/err1" &&
		grep 'bad.conf:8: platform.poll: .*50 to 60000' "$run/err1" &&
		grep 'bad.conf:10: log.level: .*debug,info,warning,error' "$run/err1" &&
		"$top/bin/rampctl" check-settings "$run/n1.conf" &&
		"$top/bin/auburnramp" --check --settings "$run/n1.conf"
}
check settings check_settings

# A question that can't be asked, and settings that leave its port unguarded.
check_explain() {
	exits 2 explain && exits 2 explain host && exits 2 explain -f /nowhere &&
		echo '[]' >"$run/question" &&
		exits 2 explain -f "$run/question" && says 'not a JSON object' &&
		exits 2 explain host /path --caller-key-file /nowhere &&
		{ RAMP_KEY=k "$top/bin/rampctl" --node 127.0.0.1:1 \
			explain host /path; [ $? = 6 ]; } &&
		cat >"$run/entry.conf" <<-EOF &&
			[node]
			name = e
			ip = 127.0.0.1
			zone = a
			[listen]
			callers = 127.0.0.1:1
			ready = 127.0.0.1:2
			entries = 127.0.0.1:3
			[peers]
			port = 4
			[store]
			address = 127.0.0.1:5
			[explain]
			port = 6
		EOF
		{ "$top/bin/rampentry" --check --settings "$run/entry.conf" \
			2>"$run/err"; [ $? = 2 ]; } &&
		grep -q 'entry.conf: explain.key_hash: required' "$run/err" &&
		echo "key_hash = $("$top/bin/rampctl" hash-key <<<k)" \
			>>"$run/entry.conf" &&
		"$top/bin/rampentry" --check --settings "$run/entry.conf"
}
check explain check_explain

# The manual names every command and option of the help.
check_manual() {
	local word
	exits 0 --help && for word in $(sed -n 's/^  \([a-z-]*\) .*/\1/p; s/^.*--\([a-z-]*\).*/\1/p' \
		"$run/out"); do
		sed 's/\\-/-/g' "$top/man/rampctl.1" | grep -q -- "$word" ||
			{ echo "$word: not in the manual"; return 1; }
	done
}
check manual check_manual

echo "1..$tests"
[ $failures = 0 ]
