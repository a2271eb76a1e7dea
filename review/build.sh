#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cpp; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O1 -Wall -Wextra -pthread -I review/standin \
        "$case" review/standin/platform.cpp -o "target/review/case-$number"
done
