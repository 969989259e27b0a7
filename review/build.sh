#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins that they start, into
# review/build/. The relay is the program as deployed, which the build line of
# deploy/system.toml makes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/build
for case in review/[1-5]; do
  [ -f "$case/main.cc" ] || continue
  g++ -std=c++20 -O2 -Wall -Wextra -Werror -I. "$case/main.cc" \
    review/common/*.cc -o "review/build/case-$(basename "$case")" \
    -lcrypto -pthread
done
