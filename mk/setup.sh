#!/bin/sh
# Install the Debian packages listed in packages.apt that are missing.
set -eu
cd "$(dirname "$0")/.."
missing=
while read -r p; do
	dpkg-query -W -f '${Status}\n' "$p" 2>/dev/null |
		grep -q 'install ok installed' || missing="$missing $p"
done <packages.apt
[ -z "$missing" ] && exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -qq
# shellcheck disable=SC2086 # one word a package
apt-get install -y -qq $missing >/dev/null
