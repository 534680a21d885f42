#!/bin/sh
# Generate the *-gen.[ch] files of base, entry, member and state, docs/EVENTS.md
# and the *.conf.5 manuals from the tables and .x files in this directory, below
# the directory given (default: the checkout). The output is committed;
# `make lint` fails when it is out of date.
set -eu
cd "$(dirname "$0")/.."
out=${1:-.}
mkdir -p "$out/base" "$out/docs" "$out/man"
body() { grep -v '^#' "schema/$1.tbl"; }

# A union merge of two changes to one row leaves both versions of the row.
duplicates=$(body settings | cut -f1,2 | sort | uniq -d
	body events | cut -f1 | sort | uniq -d
	body errors | cut -f1 | sort | uniq -d)
if [ -n "$duplicates" ]; then
	printf 'schema: duplicate rows:\n%s\n' "$duplicates" >&2
	exit 1
fi

# errors
{
	echo '/* Generated from schema/errors.tbl by schema/gen.sh. */'
	echo '#ifndef ERRORS_GEN_H'
	echo '#define ERRORS_GEN_H'
	printf 'enum ramp_error {\n\tRAMP_OK = -1,\n'
	body errors | awk -F'\t' '{ printf "\tRAMP_ERR_%s,\n", toupper($1) }'
	printf '\tRAMP_ERR_COUNT\n};\n#endif\n'
} >"$out/base/errors-gen.h"
{
	echo '/* Generated from schema/errors.tbl by schema/gen.sh. */'
	echo '#include "base/base.h"'
	echo 'const struct error_response error_responses[RAMP_ERR_COUNT] = {'
	body errors | awk -F'\t' '{
		o = toupper($3); gsub("-", "_", o)
		printf "\t{ \"%s\", %s, OUTCOME_%s, %s,\n\t  \"%s\" },\n",
			$1, $2, o, $4 == "yes" ? "true" : "false", $5 }'
	echo '};'
} >"$out/base/errors-gen.c"

# events
{
	echo '/* Generated from schema/events.tbl by schema/gen.sh. */'
	echo '#ifndef EVENTS_GEN_H'
	echo '#define EVENTS_GEN_H'
	echo 'enum log_event_id {'
	body events | awk -F'\t' '{ printf "\tEV_%s,\n", toupper($3) }'
	printf '\tEV_COUNT\n};\n#endif\n'
} >"$out/base/events-gen.h"
{
	echo '/* Generated from schema/events.tbl by schema/gen.sh. */'
	echo '#include "base/base.h"'
	echo 'const struct log_event_info log_events[EV_COUNT] = {'
	body events | awk -F'\t' '{
		printf "\t{ %s, LOG_%s, \"%s\" },\n", $1, toupper($2), $3 }'
	echo '};'
} >"$out/base/events-gen.c"
{
	echo '# Log events'
	echo
	echo 'Generated from `schema/events.tbl`. One line each in the log:'
	echo '`time level number name key=value ...`.'
	echo
	echo '| number | level | name | meaning |'
	echo '| --- | --- | --- | --- |'
	body events | awk -F'\t' '{ printf "| %s | %s | %s | %s |\n", $1, $2, $3, $4 }'
} >"$out/docs/EVENTS.md"

# metrics
{
	echo '/* Generated from schema/metrics.tbl by schema/gen.sh. */'
	echo '#ifndef METRICS_GEN_H'
	echo '#define METRICS_GEN_H'
	echo 'enum metric_id {'
	body metrics | awk -F'\t' '{ printf "\tM_%s,\n", toupper($1) }'
	printf '\tM_COUNT\n};\n#endif\n'
} >"$out/base/metrics-gen.h"
{
	echo '/* Generated from schema/metrics.tbl by schema/gen.sh. */'
	echo '#include "base/base.h"'
	echo 'const struct metric_info metric_infos[M_COUNT] = {'
	body metrics | awk -F'\t' '{
		printf "\t{ \"ramp_%s\", \"%s\",\n\t  \"%s\" },\n", $1, $2, $3 }'
	echo '};'
} >"$out/base/metrics-gen.c"

# settings; arguments: table, struct, path prefix of the files, header to
# include, command, text of the manual's BUGS section
gen_settings() {
	guard=$(echo "$2" | tr '[:lower:]' '[:upper:]')_GEN_H
	{
		echo "/* Generated from schema/$1.tbl by schema/gen.sh. */"
		echo "#ifndef $guard"
		echo "#define $guard"
		echo '#include <stdbool.h>'
		echo '#include <stdint.h>'
		echo "struct $2 {"
		body "$1" | awk -F'\t' '{
			t = "int64_t "; n = $1 "_" $2
			if ($3 ~ /^(string|hash|enum:.*)$/) t = "char *"
			if ($3 == "bool") t = "bool "
			if ($3 == "real") t = "double "
			if ($3 == "ms") n = n "_ms"
			printf "\t%s%s;\n", t, n }'
		printf '};\n#endif\n'
	} >"$out/$3-gen.h"
	{
		echo "/* Generated from schema/$1.tbl by schema/gen.sh. */"
		echo '#include <stddef.h>'
		echo "#include \"$4\""
		echo 'static const struct setting_info infos[] = {'
		body "$1" | awk -F'\t' -v s="$2" '{
			n = $1 "_" $2; if ($3 == "ms") n = n "_ms"
			d = $4 == "-" ? "NULL" : "\"" $4 "\""
			t[2] = ""; split($3, t, ":")
			a = t[2] == "" ? "NULL" : "\"" t[2] "\""
			printf "\t{ \"%s\", \"%s\", SETTING_%s, %s, %s, %s, %s,\n\t  offsetof(struct %s, %s),\n\t  \"%s\" },\n",
				$1, $2, toupper(t[1]), a, d, $5, $6, s, n, $7 }'
		echo '};'
		printf 'const struct setting_table %s_table = {\n' "$2"
		printf '\tinfos, sizeof(infos) / sizeof(infos[0]),\n'
		printf '\tsizeof(struct %s)\n};\n' "$2"
	} >"$out/$3-gen.c"
	{
		echo ".TH $(echo "$5" | tr '[:lower:]' '[:upper:]').CONF 5"
		echo '.SH NAME'
		echo "$5.conf \\- settings of $5"
		echo '.SH SYNOPSIS'
		echo ".B $5 \\-\\-settings"
		echo '.I file'
		echo '.SH DESCRIPTION'
		echo 'An INI file. An unknown key, a wrong type or a value out of range is an'
		echo 'error; all errors are listed at once.'
		body "$1" | awk -F'\t' '{
			if ($1 != s) { printf ".SS [%s]\n", $1; s = $1 }
			d = $4 == "-" ? "required" : "default " ($4 == "" ? "empty" : $4)
			r = $3 == "string" ? "length" : "value"
			r = r " from " $5 " to " $6
			t[2] = ""; split($3, t, ":")
			if (t[1] == "enum") { r = "one of " t[2]; gsub(",", ", ", r) }
			if (t[1] == "hash") r = "64 hexadecimal digits or empty"
			printf ".TP\n.B %s\n%s (%s, %s, %s)\n", $2, $7, t[1], r, d }'
		echo '.SH BUGS'
		echo "$6"
	} >"$out/man/$5.conf.5"
}
mkdir -p "$out/entry"
gen_settings settings settings base/settings base/base.h auburnramp \
	'A change of settings needs a restart of the node.'
gen_settings entry entry_settings entry/settings entry/entry.h rampentry \
	'A changed file is read again on SIGHUP; only [bounds] takes effect then.'

# resources
mkdir -p "$out/state"
{
	echo '/* Generated from schema/resources.tbl by schema/gen.sh. */'
	echo '#include "state/schema.h"'
	echo 'const struct field_info field_infos[] = {'
	body resources | awk -F'\t' '{
		t[2] = ""; split($3, t, ":")
		printf "\t{ KIND_%s, \"%s\", FIELD_%s, \"%s\", %s, %s, %s,\n\t  \"%s\" },\n",
			toupper($1), $2, toupper(t[1]), t[2],
			$4 == "yes" ? "true" : "false", $5, $6,
			gensub_quotes($7) }
		function gensub_quotes(s) { gsub("\"", "\\\"", s); return s }'
	echo '};'
	echo 'const size_t field_count ='
	printf '\tsizeof(field_infos) / sizeof(field_infos[0]);\n'
} >"$out/state/resources-gen.c"

# Messages between nodes; arguments: package, .x file. rpcgen names the header
# after its input, so sed puts in the generated file's name.
gen_messages() {
	mkdir -p "$out/$1"
	up=$(echo "$2" | tr '[:lower:]' '[:upper:]')
	for kind in h c; do
		rpcgen -$kind "schema/$2.x" | sed \
			-e "s|\"schema/$2.h\"|\"$1/$2-gen.h\"|" \
			-e "s|\"$2.h\"|\"$1/$2-gen.h\"|" \
			-e "s|_SCHEMA/${up}_H_RPCGEN\|_${up}_H_RPCGEN|${up}_GEN_H|" \
			>"$out/$1/$2-gen.$kind"
	done
}
gen_messages member member
gen_messages entry loads
