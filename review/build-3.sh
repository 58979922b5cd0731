#!/usr/bin/env bash
# Builds the programs of the scripts in review/11 to review/15 into
# target/review-3, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/program-3/case-*.cc; do
  name=$(basename "$source" .cc)
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-3/$name" -lboost_json
done
