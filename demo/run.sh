#!/bin/bash
# Run by `make demo`: start stand-ins and three nodes, send chats and posts, and
# meanwhile kill one node and drain another. The last line counts the outcomes
# of the chats. An argument names another file of chats.
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

org() { # NAME KEY
	printf '{"kind":"organisation","name":"%s","spec":{"keys":' "$1"
	printf '[{"hash":"%s","role":"caller"}]}}' \
		"$("$top/bin/rampctl" hash-key <<<"$2")"
}

service() { # NAME KIND POOL
	printf '{"kind":"service","name":"%s","spec":{"kind":"%s","pool":"%s"}}' \
		"$1" "$2" "$3"
}

start platform "$standin/platform" || exit 1
for e in e1 e2 e3; do
	start $e "$standin/engine" || exit 1
done
start s1 "$standin/service" || exit 1
for n in n1:a n2:a n3:b; do
	settings "${n%:*}" "${n#*:}"
	start "${n%:*}" "$top/bin/auburnramp" \
		--settings "$run/${n%:*}.conf" || exit 1
done
platform=http://127.0.0.1:$(port platform)
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
printf '[%s,%s,%s,%s,%s]' "$(org recif key-recif)" \
	"$(org ferreyra key-ferreyra)" "$(service assistant model llm)" \
	"$(service report model llm)" "$(service forum plain forum)" |
	ramp put -f - --wait || exit 1
"$standin/caller" -e "127.0.0.1:$(port n1)" -e "127.0.0.1:$(port n2)" \
	-e "127.0.0.1:$(port n3)" -g "127.0.0.1:$(port e1)" \
	-g "127.0.0.1:$(port e2)" -g "127.0.0.1:$(port e3)" \
	"$chats" >"$run/result" &
caller=$!
"$standin/poster" -e "127.0.0.1:$(port n1)" -e "127.0.0.1:$(port n2)" \
	-e "127.0.0.1:$(port n3)" -s "127.0.0.1:$(port s1)" -n 100 \
	>"$run/posts" &
poster=$!
sleep 0.3
kill -KILL "$(pid n1)"
sleep 0.2
kill -TERM "$(pid n2)"
wait $caller
status=$?
wait $poster || status=1
wait "$(pid n2)" || {
	echo "demo: the drained node exited with status $?" >&2
	status=1
}
cat "$run/posts"
echo "demo: $(cat "$run/result")"
exit $status
