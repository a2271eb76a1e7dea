#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruption.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 2 100 "target/review/case-$(basename "$here")" "$folder" "$here/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] && exit "$status"
exit 2
