#!/usr/bin/env bash
# Measures the time from the acceptance of a configuration version until it is in force in every
# process: runs the stand-ins, three owners and two entries, and applies forty versions through both
# entries in turn. Then prints the table service's counters before and after 30 seconds without load.
# Usage: bench/configspread.sh [DIRECTORY]   (directory of the settings; demo by default)
set -euo pipefail
cd "$(dirname "$0")/.."
settings=$(cd "${1:-demo}" && pwd)
bin=$PWD/build/release/bin
logs=run/configspread
versions=40
rm -rf "$logs"
mkdir -p "$logs"

pids=()
cleanUp() {
    trap - EXIT
    kill -9 "${pids[@]}" 2> /dev/null || true
    wait 2> /dev/null || true
}
trap cleanUp EXIT INT TERM

start() { # start NAME PROGRAM
    "$bin/$2" --settings "$settings/$1.ini" > "$logs/$1.log" 2>&1 &
    pids+=($!)
}

waitFor() { # waitFor WHAT COMMAND...: retries the command for 30 seconds
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" > /dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "configspread: $what did not happen within 30 s; see $logs" >&2
    exit 1
}

adminOf() { sed -n 's/^admin-port = /127.0.0.1:/p' "$settings/$1.ini"; }
platform=$(sed -n 's/^table-service = //p' "$settings/entry-1.ini")
export KELPTALLY_OPERATOR_KEY=demo-operator

apply() { # apply VERSION ENTRY
    sed "s/^queue-length = .*/queue-length = $((256 + $1))/" "$settings/agency.ini" \
        > "$logs/document.ini"
    "$bin/kelptallyctl" apply "$logs/document.ini" --expect "$(($1 - 1))" \
        --proxy "$(adminOf "$2")" > /dev/null
}

start standin-agency kelptally-standin
waitFor "the table service" curl -sf "http://$platform/hosts"
for i in 1 2 3; do start "owner-$i" kelptally-owner; done
for i in 1 2; do start "entry-$i" kelptally-entry; done
waitFor "an administration interface" curl -sf "http://$(adminOf entry-1)/healthz"
waitFor "an administration interface" curl -sf "http://$(adminOf entry-2)/healthz"
apply 1 entry-1
waitFor "readiness" curl -sf "http://$(adminOf entry-2)/readyz"
sleep 2
for version in $(seq 2 "$versions"); do
    apply "$version" "entry-$((1 + version % 2))"
    sleep 0.3
done
sleep 3

# Leaves out the first version, which is applied while links are still being established.
cat "$logs"/owner-*.log "$logs"/entry-*.log | awk '
    { split($2, time, ":"); at = time[1] * 3600 + time[2] * 60 + time[3] }
    match($0, /event=config_apply expected=[0-9]+ accepted=1/) {
        split(substr($0, RSTART, RLENGTH), word, /[= ]/); accepted[word[4] + 1] = at }
    match($0, /event=config_in_force version=[0-9]+/) {
        split(substr($0, RSTART, RLENGTH), word, /[= ]/); version = word[4]
        ++count[version]; if (at > last[version]) last[version] = at }
    END {
        for (version in accepted) if (version > 1 && count[version] == 5)
            print (last[version] - accepted[version]) * 1000 }' | sort -n > "$logs/times"
awk '{ time[NR] = $1 } END {
    printf "versions in force in all five processes: %d, median %.1f ms, slowest %.1f ms\n",
        NR, time[int((NR + 1) / 2)], time[NR] }' "$logs/times"

echo "counters now:        $(curl -s "http://$platform/counters")"
sleep 30
echo "half a minute later: $(curl -s "http://$platform/counters")"
