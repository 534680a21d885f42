#!/bin/bash
# Check format, line lengths, generated files and event table; run clang-tidy.
set -u
cd "$(dirname "$0")/.." || exit 1
status=0
mapfile -t sources < <(mk/sources.sh)
clang-format --dry-run -Werror "${sources[@]}" || status=1
for f in "${sources[@]}"; do
	awk -v f="$f" '{ n = gsub(/\t/, "        "); if (length($0) > 80) {
		print f ":" NR ": over 80 columns"; bad = 1 } }
		END { exit bad }' "$f" || status=1
done
tmp=$(mktemp -d)
trap 'rm -rf "$tmp" "$tmp.stale"' EXIT
schema/gen.sh "$tmp"
(cd "$tmp" && find . -type f) | while read -r f; do
	cmp -s "$tmp/$f" "$f" || echo "$f: not what schema/gen.sh gives"
done >"$tmp.stale"
cat "$tmp.stale"
[ -s "$tmp.stale" ] && status=1
# Logging an event that is not in the table fails to compile; here, find events
# of the table that are never logged.
mapfile -t code < <(printf '%s\n' "${sources[@]}" | grep '\.c$')
while IFS=$'\t' read -r _ _ name _; do
	grep -qw "EV_${name^^}" "${code[@]}" || {
		echo "schema/events.tbl: $name: logged nowhere"
		status=1
	}
done < <(grep -v '^#' schema/events.tbl)
flags=$(pkg-config --cflags glib-2.0 jansson talloc libsodium libxxhash \
	libtirpc libulfius libmicrohttpd libcurl inih argtable2 |
	sed 's/-I/-isystem/g')
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.c$')
# shellcheck disable=SC2086 # flags are words
printf '%s\n' "${units[@]}" | xargs -P "$(nproc)" -n 4 sh -c \
	'clang-tidy --quiet "$@" -- -std=gnu11 -D_GNU_SOURCE -I. '"$flags"' \
	2>/dev/null' sh || status=1
[ $status = 0 ] && echo "lint: clean"
exit $status
