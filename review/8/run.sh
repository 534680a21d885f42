#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/bin/rampentry ] && [ -x build/review/case-8 ] || exit 2
timeout -k 5 110 build/review/case-8
status=$?
[ $status -le 1 ] && exit $status
exit 2
