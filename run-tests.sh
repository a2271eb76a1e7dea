#!/usr/bin/env bash
# Installs missing packages, builds everything and runs all tests.
# Usage: ./run-tests.sh [release|asan|tsan]
set -euo pipefail
cd "$(dirname "$0")"
preset=${1:-release}

./setup.sh
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"

# Tests listed in KNOWN-RED.txt are run and printed; their failures are ignored.
known=$(cut -d: -f1 KNOWN-RED.txt 2> /dev/null | paste -sd'|' || true)
if [ -n "$known" ]; then
    cat KNOWN-RED.txt
    ctest --test-dir "build/$preset" --output-on-failure -R "^($known)\$" || echo "known red, passed over"
fi
ctest --test-dir "build/$preset" --output-on-failure --no-tests=error -j4 ${known:+-E "^($known)\$"}
