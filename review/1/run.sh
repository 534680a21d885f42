#!/bin/bash
# Exit status 1: the rule was broken; 0: it held; 2: the case couldn't run.
cd "$(dirname "$0")" || exit 2
n=$(basename "$PWD")
cd ../.. || exit 2
[ -x "review/build/case-$n" ] && [ -x target/bin/rampentry ] || {
	echo "run the build command of deploy/system.toml and review/build.sh"
	exit 2
}
exec "review/build/case-$n" "review/$n"
