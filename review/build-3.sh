#!/usr/bin/env bash
# Builds the stand-ins of the cases of this review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/1[1-5]/main.cc; do
  [ -e "$source" ] || continue
  case_number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O2 -Wall -Wextra "$source" \
    -o "target/review-3/case-$case_number"
done
