#!/bin/bash
# Run the benchmark programs one after the other, and print their rows, "name
# value unit bound ok|short", tab-separated. A program that fails or runs longer
# than its time limit adds a row "failed". The rows are kept in build/bench.tsv.
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
