#!/bin/sh
# Builds the cases 11 to 15, each with its stand-ins, to target/review-3/. Run
# after the build command of deploy/system.toml, whose libraries they link.
set -eu
cd "$(dirname "$0")/.."
out=target/review-3
packages="glib-2.0 jansson talloc libsodium libxxhash libtirpc inih argtable2"
mkdir -p "$out"
for case in review/1[1-5]; do
	[ -e "$case/case.c" ] || continue
	# shellcheck disable=SC2046 # the flags are words
	cc -std=gnu11 -O2 -g -Wall -Wextra -D_GNU_SOURCE -I. \
		$(pkg-config --cflags $packages) -pthread \
		-o "$out/case-${case#review/}" "$case/case.c" \
		review/stand-ins-3/lab.c platform/test-rig.c \
		target/build/libplatform.a target/build/libentry.a \
		target/build/libmember.a target/build/libroute.a \
		target/build/libbase.a $(pkg-config --libs $packages) \
		-lev -lhttp_parser -lm
done
