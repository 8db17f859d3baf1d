#!/bin/bash
# Rejects names that docs/naming.md has withdrawn: those in scripts/withdrawn_names.txt, one per line, as
# whole words. Files that map old names to new ones, and historical records, may contain them.
#
#   scripts/check_names.sh            the files of the repository
#   scripts/check_names.sh FILE...    these files (used by the self check)
set -euo pipefail
cd "$(dirname "$0")/.."

names=$(mktemp)
planted=$(mktemp)
trap 'rm -f "$names" "$planted"' EXIT
grep -v '^#' scripts/withdrawn_names.txt > "$names"

if [ $# -gt 0 ]; then
  ! grep -nwFf "$names" -- "$@"
  exit
fi

# Self check: a file with a withdrawn name is rejected, and one with a name that only contains it is accepted.
echo "void f(RpcRequest& request);" > "$planted"
if "$0" "$planted" >/dev/null; then echo "check_names: a planted name was not found"; exit 1; fi
echo "void f(MyRpcRequests& request);" > "$planted"
"$0" "$planted" >/dev/null || { echo "check_names: a name that is not withdrawn was refused"; exit 1; }

if git grep -nwFf "$names" -- . ':!journal' ':!CHANGELOG.md' ':!docs/naming.md' ':!docs/on-call.md' \
  ':!docs/measurements' ':!scripts/withdrawn_names.txt' ':!scripts/check_names.sh'; then
  echo "withdrawn names are used (docs/naming.md has the ones to use)"; exit 1
fi
