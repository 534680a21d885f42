#!/bin/bash
# Build the stand-ins with the cases that have a script, and with the findings
# that are no case, into review/build/.
set -eu
cd "$(dirname "$0")"
mkdir -p build
flags=$(pkg-config --cflags --libs glib-2.0 jansson)

# Build a program from its source: NAME SOURCE.
build() {
	# shellcheck disable=SC2086 # flags are words
	cc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -pthread \
		-I.. -o "build/$1" "$2" stand/*.c $flags
}

for c in [1-5]/case.c; do
	[ -e "$c" ] || continue
	build "case-${c%/case.c}" "$c"
done
build finding-last-event findings/last-event.c
