#!/bin/bash
# Run the test programs (build/*/test-* and */test-*.sh), each with its own time
# limit, and count their TAP results; with an argument, only those whose path
# matches that regular expression. A failure listed in KNOWN-RED.txt is printed
# but doesn't fail the run; any other does.
set -u
cd "$(dirname "$0")/.." || exit 1
limit_s=300
jobs=${TEST_JOBS:-4}
out=build/test-results
rm -rf "$out"
mkdir -p "$out"
programs=$(
	find build -mindepth 2 -maxdepth 2 -name 'test-*' -type f -perm -u+x
	find . -mindepth 2 -maxdepth 2 -name 'test-*.sh' -perm -u+x | sed 's,^./,,'
)
[ $# -gt 0 ] && programs=$(printf '%s\n' "$programs" | grep -E "$1")

run_one() {
	name=$(echo "$1" | tr '/' '_')
	timeout -k 5 "$limit_s" "./$1" >"$out/$name.tap" 2>"$out/$name.err"
	echo $? >"$out/$name.rc"
}
export -f run_one
export out limit_s
printf '%s\n' "$programs" | sort | xargs -P "$jobs" -I{} bash -c 'run_one {}'

# A program that was not run must not count as passed.
want=$(printf '%s\n' "$programs" | grep -c .)
have=$(find "$out" -name '*.rc' ! -name '.*' | wc -l)
[ "$want" = "$have" ] || {
	echo "$have results of $want test programs"
	exit 1
}

passed=0
failed=0
known=0
skipped=0
for rc in "$out"/*.rc; do
	base=${rc%.rc}
	skipped=$((skipped + $(grep -c '^ok .*# SKIP' "$base.tap")))
	passed=$((passed + $(grep '^ok ' "$base.tap" | grep -vc '# SKIP')))
	bad=$(grep '^not ok' "$base.tap" | sed 's/^not ok [0-9]* *-* *//')
	[ "$(cat "$rc")" != 0 ] && [ -z "$bad" ] &&
		bad="$(basename "$base") (exit $(cat "$rc"))"
	[ -z "$bad" ] && continue
	while read -r t; do
		if grep -qF "$t" KNOWN-RED.txt 2>/dev/null; then
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
