#!/bin/bash
# make demo: stand-ins and three nodes; chats go on while one node is killed
# and another is drained. The last line says what became of every answer.
set -u
chats=${1:-$(dirname "$0")/chats.jsonl}
. "$(dirname "$0")/lib.sh"
mkdir -p "$run"
trap stop_all EXIT

instance() { # NAME ROLE POOL ZONE
	printf '{"name":"%s","role":"%s","pool":"%s","zone":"%s",' "$1" "$2" \
		"$3" "$4"
	printf '"region":"local","state":"live","address":"127.0.0.1:%s"}' \
		"$(port "$1")"
}

# change N KIND NAME SPEC: rows of change number N, as state/state.h lists them.
change() {
	printf '{"key":"res/%s/%s","value":{"spec":%s,"generation":1,' \
		"$2" "$3" "$4"
	printf '"revision":%d}},{"key":"chg/%020d","value":{"id":"demo-%d",' \
		"$1" "$1" "$1"
	printf '"revision":%d,"generation":1,"kind":"%s","name":"%s",' \
		"$1" "$2" "$3"
	printf '"was":null,"is":%s}},' "$4"
}

org() { # N NAME KEY
	change "$1" organisation "$2" "$(printf \
		'{"keys":[{"hash":"%s","role":"caller"}]}' \
		"$("$standin/keyhash" "$3")")"
}

start platform "$standin/platform" || exit 1
for e in e1 e2 e3; do
	start $e "$standin/engine" || exit 1
done
start s1 "$standin/service" || exit 1
platform=http://127.0.0.1:$(port platform)
"$standin/call" POST "$platform/table/txn" "$(printf \
	'{"id":"demo","puts":[%s%s%s%s%s%s]}' \
	"$(org 1 recif key-recif)" "$(org 2 ferreyra key-ferreyra)" \
	"$(change 3 service assistant '{"kind":"model","pool":"llm"}')" \
	"$(change 4 service report '{"kind":"model","pool":"llm"}')" \
	"$(change 5 service forum '{"kind":"plain","pool":"forum"}')" \
	'{"key":"head/config","value":{"revision":5}}')" >/dev/null
for n in n1:a n2:a n3:b; do
	settings "${n%:*}" "${n#*:}"
	start "${n%:*}" "$top/bin/auburnramp" \
		--settings "$run/${n%:*}.conf" || exit 1
done
list=$(for i in e1:engine:llm:a e2:engine:llm:b e3:engine:llm:b \
	s1:service:forum:a n1:node::a n2:node::a n3:node::b; do
	IFS=: read -r name role pool zone <<<"$i"
	instance "$name" "$role" "$pool" "$zone"
	printf ','
done)
"$standin/call" PUT "$platform/standin/instances" "[${list%,}]" >/dev/null
for n in n1 n2 n3; do
	wait_ready $n || exit 1
done
"$standin/caller" -e "127.0.0.1:$(port n1)" -e "127.0.0.1:$(port n2)" \
	-e "127.0.0.1:$(port n3)" "$chats" >"$run/result" &
caller=$!
sleep 0.3
kill -KILL "$(pid n1)"
sleep 0.2
kill -TERM "$(pid n2)"
wait $caller
status=$?
echo "demo: $(cat "$run/result")"
exit $status
