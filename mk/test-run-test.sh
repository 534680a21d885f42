#!/bin/bash
# A failed assertion ends a GLib test program: run-test.sh names that case and
# runs the others, and gives a test no variable that could grow large.
cd "$(dirname "$0")" || exit 1
tmp=$(mktemp -d)
trap 'rm -rf "$tmp"' EXIT
cat >"$tmp/cases.c" <<'C'
#include <glib.h>
static void good(void) {}
static void bad(void) { g_assert_cmpint(1, ==, 2); }
int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/t/first", good);
	g_test_add_func("/t/second", bad);
	g_test_add_func("/t/third", good);
	g_test_add_func("/t/fourth", bad);
	g_test_add_func("/t/fifth", good);
	return g_test_run();
}
C
printf '#!/bin/sh\nenv | grep -c "^results=\\|^out="\n' >"$tmp/env.sh"
chmod +x "$tmp/env.sh"
run=$PWD/run-test.sh
cd "$tmp" || exit 1
# shellcheck disable=SC2046 # flags are words
cc -o cases cases.c $(pkg-config --cflags --libs glib-2.0)
"$run" cases "$tmp" 20 2>/dev/null
"$run" env.sh "$tmp" 20

n=0
check() {
	n=$((n + 1))
	if [ "$2" = "$3" ]; then
		echo "ok $n - /mk/run-test/$1"
	else
		echo "not ok $n - /mk/run-test/$1"
		echo "# got: $2"
		echo "# expected: $3"
	fi
}
echo "1..4"
check named "$(grep '^not ok' cases.tap | sed 's/.* //' | tr '\n' ' ')" \
	"/t/second /t/fourth "
check others-run "$(grep '^ok' cases.tap | sed 's/.* //' | tr '\n' ' ')" \
	"/t/first /t/third /t/fifth "
check status "$([ "$(cat cases.rc)" -gt 128 ] && echo ended)" ended
check environment "$(cat env.sh.tap)" 0
