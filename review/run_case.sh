#!/bin/sh
# Runs one case: run_case.sh N. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/build/case-$1
run=$(sed -n 's/^run = "\(.*\)".*$/\1/p' "$root/deploy/balancer.toml")
[ -x "$program" ] && [ -x "$root/build/flintglade" ] && [ -n "$run" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 5 110 "$program" "$root" "$run" "$folder" "$root/review/$1/record.txt"
status=$?
rm -rf "$folder"
[ "$status" -le 1 ] && exit "$status"
exit 2
