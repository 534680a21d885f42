#!/bin/bash
# Build the programs of the cases 6 to 9, stand-ins included, in build/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
flags=$(pkg-config --cflags --libs glib-2.0 jansson)
for folder in review/6 review/7 review/8 review/9; do
	[ -f "$folder/case.c" ] || continue
	# shellcheck disable=SC2086 # flags are words
	cc -std=gnu11 -O1 -g -Wall -Wextra -D_GNU_SOURCE -I. -pthread \
		-o "build/review/case-${folder#review/}" "$folder/case.c" \
		review/stand-ins-2/stand-in.c $flags
done
