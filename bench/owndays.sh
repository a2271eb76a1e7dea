#!/usr/bin/env bash
# Generates random fault schedules ("days") for fleetbench, with overlapping and repeated faults of
# all kinds that it supports.
# Usage: bench/owndays.sh DIRECTORY SEED COUNT; run one with `fleetbench run SITE DIRECTORY/own-1.toml`.
set -euo pipefail
directory=$1 count=$3
RANDOM=$2
mkdir -p "$directory"

disruptions=(
    'kind = "reset_conns", share = 0.6, x = 0.7, how = "silent"'
    'kind = "reset_conns", share = 1.0, x = 1.0, how = "silent"'
    'kind = "reset_conns", share = 0.5, x = 0.6'
    'kind = "answer_lost", share = 0.5, x = 0.03, for_s = 4.0'
    'kind = "node_kill", share = 0.2, for_s = 3.0, how = "power"'
    'kind = "node_kill", on = "core", count = 1, how = "leader race drain"'
    'kind = "node_freeze", share = 0.15, for_s = 3.0'
    'kind = "node_freeze", count = 1, for_s = 4.0, how = "renewed"'
    'kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0'
    'kind = "core_cut", count = 1, for_s = 5.0, how = "leader"'
    'kind = "core_cut", for_s = 4.0, how = "leader race"'
    'kind = "core_cut", count = 2, for_s = 4.0, how = "all"'
    'kind = "node_cut", share = 0.2, for_s = 5.0'
    'kind = "platform_down", for_s = 4.0, how = "busy"'
    'kind = "platform_down", for_s = 6.0, how = "nodes leader silent", share = 0.35'
    'kind = "platform_slow", x = 60.0, for_s = 4.0'
    'kind = "platform_lost", x = 0.35, for_s = 4.0, how = "late"'
    'kind = "platform_compact", x = 5.0, for_s = 6.0'
    'kind = "srv_crash", how = "dark primary", for_s = 6.0'
    'kind = "srv_crash", how = "gone primary", for_s = 6.0'
    'kind = "srv_cut", share = 0.3, for_s = 4.0, how = "fronts"'
    'kind = "primary_cut", share = 0.5, for_s = 5.0, how = "one_way"'
    'kind = "primary_cut", share = 0.5, for_s = 5.0, how = "replicas"'
    'kind = "replica_lag", share = 0.6, x = 60.0, for_s = 5.0, how = "deaf crash"'
    'kind = "clock_step", x = 3000, for_s = 6.0, share = 0.5'
    'kind = "herd_kill", share = 0.6'
    'kind = "herd_kill", on = "core", how = "power", for_s = 1.0'
    'kind = "after_ack_kill", for_s = 3.0'
    'kind = "replace_core", how = "leader", x = 2.0'
)
planned=(
    'kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.3, how = "busy"'
    'kind = "roll_term", share = 1.0, x = 2.0, gap_s = 2.0'
    'kind = "release", how = "primary"'
    'kind = "config_change", how = "timeout"'
    'kind = "config_change", how = "route"'
    'kind = "config_storm", for_s = 3.0, gap_s = 0.2'
    'kind = "hup", share = 0.5, gap_s = 1.0'
    'kind = "add_nodes", count = 1'
)
closings=('power_off_all' 'kill_all' 'wipe_after_ack')

at() { printf '%d.%02d' $((2 + RANDOM % 27)) $((RANDOM % 100)); }

for ((day = 1; day <= count; ++day)); do
    {
        printf 'name = "own-%d"\nslot = "trouble"\nseed = %d\none = 0.9\nzero = 0.3\n' "$day" \
            $((RANDOM * 32768 + RANDOM))
        printf 'closing = { kind = "%s", down_s = 1.0 }\n' "${closings[RANDOM % ${#closings[@]}]}"
        printf 'plan = [\n'
        for ((i = 0; i < 2 + RANDOM % 3; ++i)); do
            printf '  { at = %s, %s },\n' "$(at)" "${planned[RANDOM % ${#planned[@]}]}"
        done
        printf ']\nfaults = [\n'
        for ((i = 0; i < 4 + RANDOM % 5; ++i)); do
            printf '  { at = %s, %s },\n' "$(at)" "${disruptions[RANDOM % ${#disruptions[@]}]}"
        done
        printf ']\n'
    } > "$directory/own-$day.toml"
done
