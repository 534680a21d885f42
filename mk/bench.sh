#!/bin/bash
# Run every bench program; rows are "name value unit bound ok|short".
cd "$(dirname "$0")/.." || exit 1
for b in $(find build/bench -name 'bench-*' -type f -perm -u+x 2>/dev/null |
	sort) $(find bench -name 'bench-*.sh' | sort); do
	timeout -k 5 600 "$b" ||
		printf '%s\t-\t-\t-\tfailed\n' "$(basename "$b")"
done
