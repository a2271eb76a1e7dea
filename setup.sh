#!/usr/bin/env bash
# Installs all packages required to build, test and lint kelptally (Debian 12).
set -euo pipefail

packages=(
    ca-certificates cmake make ninja-build ccache g++ pkg-config
    clang clang-format clang-tidy libclang-rt-14-dev curl
    libboost-dev libboost-system-dev libwebsocketpp-dev nlohmann-json3-dev
    libabsl-dev libgoogle-glog-dev libspdlog-dev libtclap-dev libinih-dev libcbor-dev
    prometheus-cpp-dev libpq-dev libsqlite3-dev libssl-dev
    catch2 librapidcheck-dev
)

missing=()
for package in "${packages[@]}"; do
    status=$(dpkg-query -W -f='${Status}' "$package" 2>/dev/null || true)
    [ "$status" = "install ok installed" ] || missing+=("$package")
done
if [ "${#missing[@]}" -eq 0 ]; then
    echo "setup: all packages are installed"
    exit 0
fi

echo "setup: installing ${missing[*]}"
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
apt-get install -y -q --no-install-recommends "${missing[@]}"
