#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without
# the disruptions. TROUBLE=crash: with the crash of the primary only.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
folder=$(mktemp -d) || exit 2
# A process group of its own, which the hosts belong to.
timeout -s KILL 100 "target/review/case-$(basename "$here")" "$folder" "$here/record.txt" &
group=$!
finish() {
    kill -KILL -- "-$group" 2> /dev/null
    rm -rf "$folder"
}
trap 'finish; exit 2' INT TERM HUP
wait "$group"
status=$?
finish
[ "$status" -le 1 ] && exit "$status"
exit 2
