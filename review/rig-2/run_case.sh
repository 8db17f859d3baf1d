#!/bin/bash
# Runs the program of one case from the repository's root, with a scratch folder of its own: run_case.sh NUMBER.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. The program ends all processes that it starts, after 115 seconds at the latest.
cd "$(dirname "$0")/../.." || exit 2
program=build-review-2/case-$1
[ -x "$program" ] && [ -x build/flintglade ] || { echo "not built: the deploy build, then review/build-2.sh"; exit 2; }
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"$program" "review/$1" "$scratch"
verdict=$?
[ "$verdict" -le 2 ] || verdict=2
exit "$verdict"
