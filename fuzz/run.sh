#!/usr/bin/env bash
# Builds the fuzz targets and runs each for a fixed number of inputs with a fixed random seed, starting
# from the corpus that fuzz_seeds_test writes. Usage: fuzz/run.sh [RUNS [SEED]]
set -euo pipefail
cd "$(dirname "$0")/.."
runs=${1:-20000}
seed=${2:-1}
build=build/fuzz
targets=(decoder httpreader token settings wire entry)

cmake --preset fuzz > /dev/null
cmake --build --preset fuzz --target fuzz_seeds_test "${targets[@]/#/fuzz_}"
"$build/tests/fuzz/fuzz_seeds_test" > /dev/null
for target in "${targets[@]}"; do
    found=$(mktemp -d)
    echo "fuzz: $target, $runs inputs from seed $seed"
    "$build/fuzz/fuzz_$target" -runs="$runs" -seed="$seed" -max_len=4096 -timeout=10 -rss_limit_mb=1024 \
        -print_final_stats=1 -artifact_prefix="$build/fuzz/$target-" "$found" "$build/fuzz/seeds/$target" \
        2> "$build/fuzz/$target.log" || { tail -40 "$build/fuzz/$target.log"; exit 1; }
    grep -E 'stat::(number_of_executed_units|new_units_added)' "$build/fuzz/$target.log"
    rm -rf "$found"
done
