#!/bin/sh
# Builds the stand-ins of the cases, one program a case, into review/build.
set -eu
cd "$(dirname "$0")"
mkdir -p build
for source in [0-9]/case.cpp; do
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-${source%%/*}" "$source"
done
