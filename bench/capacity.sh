#!/bin/bash
# Run the programs that measure the figures of docs/CAPACITY.md, and print their
# rows, "name value unit bound ok|short", tab-separated. A program that fails
# adds a row "failed". The rows are kept in build/capacity.tsv. Plot a node's
# use of its limits for control, by fleet size, to docs/capacity.svg.
set -u
cd "$(dirname "$0")/.." || exit 1
out=build/capacity.tsv
: >"$out"
for p in capacity capacity-path bench-member bench-state; do
	timeout -k 5 300 "build/bench/$p" >"build/$p.rows" ||
		printf '%s\t-\t-\t-\tfailed\n' "$p" >>"build/$p.rows"
	cat "build/$p.rows" >>"$out"
done
cat "$out"

# value NAME: print the value of the row NAME.
value() { awk -F'\t' -v n="$1" '$1 == n { print $2 }' "$out"; }

# Columns: members; bytes, CPU time and memory as per cent of their limits.
for n in 9 50 150 370; do
	awk -v n=$n -v b="$(value control_bytes_s_$n)" \
		-v c="$(value control_cpu_pct_$n)" -v m="$(value control_mb_$n)" \
		'BEGIN { print n, 100 * b / 4096, 100 * c / 2.5, 100 * m / 64 }'
done >build/capacity.plot
gnuplot <<-'EOF'
	set terminal svg size 720,420 font "sans,12"
	set output "docs/capacity.svg"
	set title "Membership: use of a node's limits for control"
	set xlabel "nodes"
	set ylabel "% of the limit"
	set logscale y
	set yrange [0.01:200]
	set key bottom right
	plot "build/capacity.plot" using 1:2 with linespoints title "4,096 B/s, busiest second", \
	     "" using 1:3 with linespoints title "2.5% of a core", \
	     "" using 1:4 with linespoints title "64 MB", \
	     "" using 1:(100) with linespoints title "limit"
EOF
