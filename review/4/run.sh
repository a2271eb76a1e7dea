#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
# TROUBLE=0: the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/stop
[ -x "$program" ] && [ -x target/bin/kelptallyd ] || exit 2
work=$(mktemp -d) || exit 2
timeout -k 2 110 "$program" review/4 "$work" "${TROUBLE:-1}" &
# The program ends all processes that it started when it is told to stop.
trap 'kill "$!" 2>/dev/null' INT TERM
wait "$!"
status=$?
rm -rf "$work"
[ "$status" -le 1 ] || exit 2
exit "$status"
