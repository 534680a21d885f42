#!/bin/bash
# Run one test program: run-test.sh PROGRAM RESULT_DIR LIMIT_S. Writes its TAP
# lines, errors and exit status to RESULT_DIR. A GLib test program ends at its
# first failed assertion: that case is then added as "not ok", and the program
# runs again for the cases that follow.
set -u
program=$1
base=$2/$(echo "$program" | tr '/' '_')
limit_s=$3

# Run the program with the given arguments, adding to the results.
run() {
	timeout -k 5 "$limit_s" "./$program" "$@" >"$base.run" 2>>"$base.err"
	status=$?
	cat "$base.run" >>"$base.tap"
	passed=$(grep -c '^ok ' "$base.run")
}

# The cases of a GLib test program in their order; none for a script.
list_cases() {
	case $program in
	*.sh) ;;
	*) "./$program" -l 2>/dev/null | grep '^/' ;;
	esac
}

: >"$base.tap"
: >"$base.err"
run
rc=$status
if [ "$rc" -gt 128 ]; then
	cases=$(list_cases)
	while [ "$status" -gt 128 ] && [ -n "$cases" ]; do
		red=$(printf '%s\n' "$cases" | sed -n "$((passed + 1))p")
		[ -n "$red" ] || break
		echo "not ok $((passed + 1)) $red" >>"$base.tap"
		cases=$(printf '%s\n' "$cases" | tail -n "+$((passed + 2))")
		[ -n "$cases" ] || break
		mapfile -t chosen < <(printf '%s\n' "$cases" | sed 's/^/-p\n/')
		run "${chosen[@]}"
	done
fi
rm -f "$base.run"
echo "$rc" >"$base.rc"
