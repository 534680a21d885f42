#!/bin/bash
# Run every bench program, one after the other; rows are "name value unit bound
# ok|short", or "failed". They are kept in build/bench.tsv.
set -u
cd "$(dirname "$0")/.." || exit 1
mkdir -p build
: >build/bench.tsv
for b in build/bench/bench-* build/bench/capacity build/bench/capacity-path; do
	case $b in *.[od]) continue ;; esac
	if ! timeout -k 5 600 "$b" >build/bench.rows; then
		printf '%s\t-\t-\t-\tfailed\n' "$(basename "$b")" >>build/bench.rows
	fi
	tee -a build/bench.tsv <build/bench.rows
done
