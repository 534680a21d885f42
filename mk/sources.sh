#!/bin/sh
# List the C sources and headers that are not generated.
cd "$(dirname "$0")/.." || exit 1
git ls-files --cached --others --exclude-standard '*.c' '*.h' |
	grep -v -e '-gen\.[ch]$' | while read -r f; do
	[ -e "$f" ] && echo "$f"
done
