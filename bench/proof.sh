#!/bin/bash
# Run the tests that docs/PROOF.md names and print each of its points with the
# state of its tests: all pass, one is red, or one did not run. What they leave
# unproved stands in the last column of the page.
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
