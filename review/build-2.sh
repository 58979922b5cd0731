#!/usr/bin/env bash
# Builds the programs of the cases of review 2, with the project's stand-ins,
# into target/review-2. Needs the packages of deploy/system.toml only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
testing=packages/testing
flags=(-std=c++20 -O1 -Wall -Wextra -I review/program-2
  -I "$testing/standins/include" -I "$testing/processes/include"
  -I packages/core/include)
shared=(review/program-2/small_fleet.cc
  "$testing/standins/src/serving_platform.cc"
  "$testing/standins/src/http_server.cc"
  "$testing/processes/src/child_process.cc"
  "$testing/processes/src/fault_proxy.cc"
  "$testing/processes/src/http_call.cc")
objects=()
for source in "${shared[@]}"; do
  object=$out/$(basename "$source" .cc).o
  g++ "${flags[@]}" -c "$source" -o "$object" &
  objects+=("$object")
done
for job in $(jobs -p); do wait "$job"; done
for program in "$@" $([ $# -gt 0 ] || ls review/program-2/*.cc); do
  name=$(basename "$program" .cc)
  [ "$name" != small_fleet ] || continue
  g++ "${flags[@]}" "review/program-2/$name.cc" "${objects[@]}" \
    -o "$out/$name" -lboost_json -lboost_system -pthread
done
