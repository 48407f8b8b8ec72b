#!/usr/bin/env bash
# Builds the programs that the scripts of cases 11 to 14 start: the instances as
# the deploy file does, and the stand-ins with their clients in one program for
# each script. Output in target/; needs no package beyond the deploy file's.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release -DGOOSEBERRY_TESTS=OFF
cmake --build target --target gooseberryd fakes platform
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers)
for part in decisions cells eventio platform fakes standins; do
  flags+=("-I$part/src")
done
sources=review/smallfleet/tests
objects=()
for source in standins/src/storeserver.cpp standins/src/workerserver.cpp \
  $sources/smallfleet.cpp $sources/slowlink.cpp; do
  object=$out/$(basename "$source" .cpp).o
  g++ "${flags[@]}" -c "$source" -o "$object"
  objects+=("$object")
done
libraries=(target/fakes/libfakes.a target/platform/libplatform.a target/eventio/libeventio.a
  target/cells/libcells.a target/decisions/libdecisions.a)
for source in "$sources"/*.cpp; do
  name=$(basename "$source" .cpp)
  case $name in smallfleet | slowlink) continue ;; esac
  g++ "${flags[@]}" "$source" "${objects[@]}" -Wl,--start-group "${libraries[@]}" -Wl,--end-group \
    -lyaml-cpp -lxxhash -lssl -lcrypto -lpthread -o "$out/$name"
done
