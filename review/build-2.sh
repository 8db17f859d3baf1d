#!/bin/bash
# Builds the stand-ins of the review's cases 6 to 10, which are part of each case's program. Needs the compiler of
# the deploy build and no library beyond the standard one.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6..10}/test.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  "${CXX:-g++}" -std=c++20 -O2 -Wall -Wextra -Wno-missing-field-initializers -pthread -Ireview/rig-2 "$source" \
    -o "build-review-2/case-$number"
done
