#!/usr/bin/env bash
# Builds the stand-ins of the cases of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
"${CXX:-g++}" -std=c++20 -O1 -c review/support-3/Support.cpp -o target/review-3/Support.o
for source in review/1[1-5]/Case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O1 -pthread "$source" target/review-3/Support.o -o "target/review-3/case-$number"
done
