#!/usr/bin/env bash
# Counts refused statements by cause and by second. Reads the structured logs of a fleetbench run
# (`fleetbench run SITE DAY --log all > FILE`) or of hosts (one JSON object per line).
# Usage: bench/causes.sh FILE [FROM TO]   (seconds of the run; the whole run by default)
set -euo pipefail
file=$1 from=${2:--1000000} to=${3:-1000000}

field() { sed -E "s/.*\"$1\":\"([^\"]*)\".*/\1/"; }
refused=$(grep '"event":"statement_refused"' "$file" | awk -v from="$from" -v to="$to" '$1 >= from && $1 < to')
[ -n "$refused" ] || { echo "nothing was refused"; exit 0; }

echo "count reason group executed: detail"
paste -d' ' <(field reason <<< "$refused") <(field group <<< "$refused") \
    <(field executed <<< "$refused") <(field detail <<< "$refused" | sed 's/^/: /') |
    sort | uniq -c | sort -rn | head -30
echo
echo "count second reason"
paste -d' ' <(awk '{print int($1)}' <<< "$refused") <(field reason <<< "$refused") |
    sort -n | uniq -c
