#!/bin/bash
# Lint: clang-format over every C++ file, and clang-tidy (.clang-tidy) over the folders in scripts/lint_packages.txt.
# Every finding is an error. Generated sources (build*/proto) are in none of these folders.
#
#   scripts/lint.sh [-j N] [--tidy-only] [--build FOLDER] [FOLDER...]
#
#   -j N            clang-tidy processes at once (default: one per core)
#   --tidy-only     without clang-format
#   --build FOLDER  where the compile database is (default build-test); it is configured, and the headers that
#                   protoc generates are built, where that has not been done
#   FOLDER...       these folders instead of those in scripts/lint_packages.txt
set -euo pipefail
cd "$(dirname "$0")/.."

jobs=$(nproc)
build=build-test
format=yes
folders=()
while [ $# -gt 0 ]; do
  case $1 in
    -j) jobs=$2; shift ;;
    --build) build=$2; shift ;;
    --tidy-only) format=no ;;
    -*) echo "usage: scripts/lint.sh [-j N] [--tidy-only] [--build FOLDER] [FOLDER...]" >&2; exit 2 ;;
    *) folders+=("${1%/}") ;;
  esac
  shift
done

if [ $format = yes ]; then
  echo "-- clang-format over all files"
  git ls-files '*.h' '*.cpp' | xargs clang-format --dry-run --Werror
fi

if [ ${#folders[@]} -eq 0 ]; then
  mapfile -t folders < <(grep -v '^#' scripts/lint_packages.txt)
fi
for folder in "${folders[@]}"; do
  [ -d "$folder" ] || { echo "lint: $folder is no folder" >&2; exit 1; }
done

[ -e "$build/compile_commands.json" ] || cmake -S . -B "$build" -DFLINTGLADE_WERROR=ON >/dev/null
cmake --build "$build" -j"$jobs" --target flintglade_proto flintglade_operator_proto flintglade_coordination_proto \
  flintglade_hot_restart_proto >/dev/null

# A header is checked through the sources that include it, where it lies in one of the folders. A header-only
# package is checked through the other folders' sources.
header_filter="^$PWD/($(IFS='|'; echo "${folders[*]}"))/"
sources=()
for folder in "${folders[@]}"; do
  mapfile -t -O ${#sources[@]} sources < <(git ls-files "$folder/*.cpp")
done
# Only what the compile database knows: fuzz targets are built with clang, in a folder of their own.
known=()
for source in "${sources[@]}"; do
  if grep -qF "\"file\": \"$PWD/$source\"" "$build/compile_commands.json"; then known+=("$source"); fi
done
echo "-- clang-tidy over ${#known[@]} sources of: ${folders[*]} ($jobs at once)"
start=$SECONDS
# GCC's -Wno-restrict and -ffat-lto-objects, in the compile database, are unknown to clang. Each source's findings are printed in one piece.
export build header_filter
printf '%s\0' "${known[@]}" | xargs -0 -n1 -P"$jobs" bash -c '
  findings=$(clang-tidy --quiet -p "$build" --header-filter="$header_filter" \
    --extra-arg=-Wno-unknown-warning-option --extra-arg=-Wno-ignored-optimization-argument "$1" 2>&1) || { printf "%s\n" "$findings"; exit 1; }' lint ||
  { echo "lint: clang-tidy has findings"; exit 1; }
echo "-- clang-tidy took $((SECONDS - start)) s"
