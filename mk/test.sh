#!/bin/bash
# Run the test programs (build/*/test-* and */test-*.sh), each with its own time
# limit, and count their TAP results; with an argument, only those whose path
# matches that regular expression. A failure listed in KNOWN-RED.txt is printed
# but doesn't fail the run; any other does.
set -u
cd "$(dirname "$0")/.." || exit 1
limit_s=300
jobs=${TEST_JOBS:-4}
results=build/test-results
rm -rf "$results"
mkdir -p "$results"
programs=$(
	find build -mindepth 2 -maxdepth 2 -name 'test-*' -type f -perm -u+x
	find . -mindepth 2 -maxdepth 2 -name 'test-*.sh' -perm -u+x | sed 's,^./,,'
)
[ $# -gt 0 ] && programs=$(printf '%s\n' "$programs" | grep -E "$1")

# These fill the memory and the descriptors of processes, each apart from other
# load.
alone=test-hostile-clients

# No variable is exported: it would be in the environment of every program that
# a test starts.
printf '%s\n' "$programs" | grep -v "$alone" | sort |
	xargs -r -P "$jobs" -I{} mk/run-test.sh {} "$results" "$limit_s"
printf '%s\n' "$programs" | grep "$alone" | sort |
	xargs -r -P 1 -I{} mk/run-test.sh {} "$results" "$limit_s"

# A program that was not run must not count as passed.
want=$(printf '%s\n' "$programs" | grep -c .)
have=$(find "$results" -name '*.rc' ! -name '.*' | wc -l)
[ "$want" = "$have" ] || {
	echo "$have results of $want test programs"
	exit 1
}

passed=0
failed=0
known=0
skipped=0
for rc in "$results"/*.rc; do
	base=${rc%.rc}
	skipped=$((skipped + $(grep -c '^ok .*# SKIP' "$base.tap")))
	passed=$((passed + $(grep '^ok ' "$base.tap" | grep -vc '# SKIP')))
	bad=$(grep '^not ok' "$base.tap" | sed 's/^not ok [0-9]* *-* *//')
	[ "$(cat "$rc")" != 0 ] && [ -z "$bad" ] &&
		bad="$(basename "$base") (exit $(cat "$rc"))"
	[ -z "$bad" ] && continue
	while read -r t; do
		if grep -qxF "$t" KNOWN-RED.txt 2>/dev/null; then
			echo "known red: $t"
			known=$((known + 1))
		else
			echo "FAILED: $t"
			tail -n 15 "$base.tap" "$base.err" | sed 's/^/    /'
			failed=$((failed + 1))
		fi
	done <<<"$bad"
done
[ $known -gt 0 ] && cat KNOWN-RED.txt
echo "$passed passed, $failed failed, $((skipped + known)) skipped"
[ $failed = 0 ] && [ $passed -gt 0 ]
