#!/usr/bin/env bash
# Builds the program that plays the scripts: the stand-ins of platform, workers
# and clients. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build build --target trial
