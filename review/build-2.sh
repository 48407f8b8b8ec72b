#!/usr/bin/env bash
# Builds what the scripts of the second review start, beside the program of the
# deploy file: the project's own stand-ins and one program with the cases.
set -euo pipefail
cd "$(dirname "$0")/.."
build=build-review-2
cmake -S . -B "$build" -G Ninja -DCMAKE_BUILD_TYPE=Release -DGOOSEBERRY_TESTS=OFF
cmake --build "$build" --target fakes platform eventio cells decisions
includes=()
for package in decisions cells eventio platform fakes standins; do
  includes+=("-I$package/src")
done
g++ -std=c++20 -O2 -pthread "${includes[@]}" \
  review/tests/cases2.cpp review/tests/site2.cpp \
  standins/src/storeserver.cpp standins/src/workerserver.cpp \
  -Wl,--start-group "$build"/{fakes/libfakes,platform/libplatform,eventio/libeventio,cells/libcells,decisions/libdecisions}.a -Wl,--end-group \
  -lxxhash -lcrypto -lssl -ltbb \
  -o "$build/cases2"
echo "built $build/cases2"
