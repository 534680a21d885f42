#!/bin/bash
# Runs the soak of leaving targets for 15 s with one seed.
cd "$(dirname "$0")/.." || exit 1
echo "1..1"
out=$(build/soak/leaving 1 15)
echo "$out" | grep '^#'
if echo "$out" | grep -q '^ok 1'; then
	echo "ok 1 - /soak/leaving-1"
else
	echo "not ok 1 - /soak/leaving-1"
fi
