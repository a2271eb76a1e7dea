#!/usr/bin/env bash
# Installs missing packages, builds, and demonstrates the agency's site on the stand-ins with three
# owners and two entries: a write, a read through another entry with its session token, and a failure
# of a primary.
set -euo pipefail
cd "$(dirname "$0")"

./setup.sh
cmake --preset release > /dev/null
cmake --build --preset release

bin=build/release/bin
logs=run/demo
entries=(127.0.0.1:22201 127.0.0.1:22202)
standinControl=127.0.0.1:21090
rm -rf "$logs"
mkdir -p "$logs"

pids=()
cleanUp() {
    trap - EXIT
    kill "${pids[@]}" 2> /dev/null || true
    sleep 1
    # Owners wait for a successor, but all stop at once; the second signal ends this wait.
    kill "${pids[@]}" 2> /dev/null || true
    wait 2> /dev/null || true
}
trap cleanUp EXIT INT TERM

start() { # start NAME PROGRAM ARGUMENTS...: runs it in the background with its own log
    local name=$1
    shift
    "$@" > "$logs/$name.log" 2>&1 &
    pids+=($!)
}

waitFor() { # waitFor WHAT COMMAND...: retries the command for 30 seconds
    local what=$1
    shift
    for _ in $(seq 300); do
        if "$@" > /dev/null 2>&1; then return 0; fi
        sleep 0.1
    done
    echo "demo: $what did not happen within 30 s; see $logs" >&2
    exit 1
}

request() { # request ENTRY KIND SQL [CURL OPTIONS...]: prints the answer with its headers
    local entry=$1 kind=$2 sql=$3
    shift 3
    curl -si --max-time 10 "http://$entry/v1/statement" -H 'Authorization: Bearer demo-key' "$@" \
        -d "{\"group\":\"tariff-1\",\"kind\":\"$kind\",\"sql\":\"$sql\",\"deadlineMs\":8000}"
}

tokenOf() { sed -n 's/^[Kk]elptally-[Ss]ession: *//p' | tr -d '\r'; }
bodyOf() { sed '1,/^\r$/d'; }
succeeded() { grep -q '^HTTP/1.1 200'; }
newKey() { echo "$(date +%s)-demo-$1"; }

decide() { # decide ENTRY ID: registers a decision once
    request "$1" register-decision \
        "INSERT INTO decisions(id, household, tariff) VALUES ('$2', 'h-$2', 'social')" \
        -H "Idempotency-Key: $(newKey "$2")"
}

echo "== starting the stand-ins, three owners and two entries (logs in $logs)"
start standin "$bin/kelptally-standin" --settings demo/standin-agency.ini
waitFor "the table service" curl -sf http://127.0.0.1:21080/hosts
for i in 1 2 3; do start "owner-$i" "$bin/kelptally-owner" --settings "demo/owner-$i.ini"; done
for i in 1 2; do start "entry-$i" "$bin/kelptally-entry" --settings "demo/entry-$i.ini"; done

echo "== applying the configuration through a proxy"
export KELPTALLY_OPERATOR_KEY=demo-operator
waitFor "an administration interface" curl -sf http://127.0.0.1:22401/healthz
waitFor "the configuration" "$bin/kelptallyctl" apply demo/agency.ini --expect 0 --proxy 127.0.0.1:22401
waitFor "readiness" curl -sf http://127.0.0.1:22401/readyz
waitFor "readiness" curl -sf http://127.0.0.1:22402/readyz
firstWrite() { decide "${entries[0]}" first | succeeded; }
waitFor "a first write" firstWrite

echo "== a write through entry 1"
answer=$(decide "${entries[0]}" d-1)
echo "$answer" | bodyOf
echo
token=$(echo "$answer" | tokenOf)

echo "== read through entry 2 with its token"
request "${entries[1]}" eligibility "SELECT id, household, tariff FROM decisions WHERE id = 'd-1'" \
    -H "Kelptally-Session: $token" | bodyOf
echo

echo "== status"
"$bin/kelptallyctl" status --proxy 127.0.0.1:22402

echo "== killing the primary of tariff-1 while writing"
primary=$("$bin/kelptallyctl" status --json --proxy 127.0.0.1:22402 \
    | sed -n 's/.*"group":"tariff-1",[^{]*"primary":"\([^"]*\)".*/\1/p')
curl -sf "http://$standinControl/faults" -d "{\"server\":\"$primary\",\"fault\":\"kill\"}" > /dev/null
killed=$(date +%s%N)
tries=0
until decide "${entries[0]}" "after-$tries" | succeeded; do tries=$((tries + 1)); done
echo "killed $primary; first acknowledged write after $((($(date +%s%N) - killed) / 1000000)) ms" \
    "($tries refused tries in between)"

echo "== all acknowledged decisions are there, each once"
request "${entries[1]}" case-read "SELECT id, count(*) FROM decisions GROUP BY id ORDER BY id" | bodyOf
echo
echo "== done"
