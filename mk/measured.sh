#!/bin/bash
# Write docs/MEASURED.md from the rows that the last `make bench` kept.
set -u
cd "$(dirname "$0")/.." || exit 1
{
	echo '# Measured'
	echo
	echo "Rows of \`make bench\` at commit $(git rev-parse --short HEAD), on"
	echo "$(nproc) cores, load $(cut -d' ' -f1 /proc/loadavg) at the end; written by"
	echo '`make measured`. Rows with a suffix such as `_p2c` or `_random` are the'
	echo 'ways weighed or naive baselines of the same run; their bounds show what'
	echo 'the chosen way has to keep, and `short` there says nothing about the'
	echo 'product. A row of the product that is short:'
	echo
	awk -F'\t' '$5 == "short" || $5 == "failed"' build/bench.tsv |
		grep -vE "^[a-z_]*(_9|_600)_[a-z]" |
		awk -F'\t' '{ printf "- `%s` %s %s (bound %s): %s\n", $1, $2, $3, $4, $5 }'
	echo
	echo '| row | value | unit | bound | state |'
	echo '| --- | --- | --- | --- | --- |'
	awk -F'\t' '{ printf "| %s | %s | %s | %s | %s |\n", $1, $2, $3, $4, $5 }' \
		build/bench.tsv
} >docs/MEASURED.md
