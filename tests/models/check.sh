#!/bin/bash
# Checks a model with Spin: no errors without flags, and at least one for each flag, which plants a fault.
#
#   check.sh MODEL [FLAG...]
set -eu
model=$(cd "$(dirname "$1")" && pwd)/$(basename "$1")
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
errors() {
  spin -a $1 "$model" >/dev/null
  gcc -O2 -DSAFETY -DMEMLIM=3000 -w -o pan pan.c
  ./pan -m200000 >out
  if grep -q 'max search depth too small\|out of memory\|MEMLIM bound' out; then cat out >&2; exit 1; fi
  sed -n 's/.*errors: \([0-9]*\).*/\1/p' out
}
found=$(errors "")
echo "sound: errors $found, $(grep 'states, stored' out)"
[ "$found" = 0 ] || exit 1
for flag in "$@"; do
  found=$(errors "-D$flag")
  echo "$flag: errors $found"
  [ "$found" != 0 ] || exit 1
done
