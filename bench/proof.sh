#!/bin/bash
# Run all tests, and print each claim of docs/PROOF.md with the state of the
# tests that it names: all pass, one failed ("red"), or one did not run. What
# the tests leave unproved is said in the last column of that page.
set -u
cd "$(dirname "$0")/.." || exit 1
mk/test.sh >build/proof.out 2>&1
cat build/test-results/*.tap >build/proof.tap
status=0
while IFS= read -r line; do
	state="tests pass"
	for t in $(grep -o '/[a-z][a-z0-9/-]*' <<<"$line" | grep '/.*/' | sort -u); do
		if grep -q "^not ok [0-9]* -* *$t\$" build/proof.tap; then
			state="red: $t"
		elif ! grep -qE "^ok [0-9]+ (- )?$t( |\$)" build/proof.tap; then
			state="not run: $t"
		fi
	done
	[ "$state" = "tests pass" ] || status=1
	printf '%s\t%s\n' "$(cut -d'|' -f2 <<<"$line" | sed 's/^ *//; s/ *$//')" \
		"$state"
done < <(grep '^| .*/[a-z]*/' docs/PROOF.md)
tail -n 1 build/proof.out
exit $status
