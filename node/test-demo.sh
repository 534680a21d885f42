#!/bin/bash
# Runs the demo as a test: one node is killed and one drained during chats; no
# answer may be lost, run twice, mixed up or cut short.
RUN_DIR=$(mktemp -d)
export RUN_DIR
trap 'rm -rf "$RUN_DIR"' EXIT
if "$(dirname "$0")/../demo/run.sh" 2>&1 | tee /dev/stderr |
	grep -q '^demo: .* lost=0 doubled=0 crossed=0 cut=0$'; then
	echo "ok 1 /node/demo"
else
	echo "not ok 1 /node/demo"
	exit 1
fi
echo 1..1
