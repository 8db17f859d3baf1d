#!/bin/bash
# Checks the table 'From a log event to its code' in docs/architecture.md: each event is written by the file
# that the table names, and each event that src writes by a literal name is in the table.
#
#   scripts/check_log_events.sh [--fix]     --fix: corrects the file column where exactly one file writes the event
set -euo pipefail
cd "$(dirname "$0")/.."
page=docs/architecture.md
failures=0
complain() { echo "check_log_events: $*"; failures=$((failures + 1)); }

# The log reader (src/coordination/audit) names events, but writes none.
writers() { grep -lF "\"$1\"" -r src --include='*.cpp' --include='*.h' | grep -v '^src/coordination/audit' | sort || true; }

rows=$(sed -n '/^## From a log event/,$s/^| `\([a-z_]*\)` | `\([^`]*\)` | .*$/\1 \2/p' "$page")
[ "$(wc -l <<<"$rows")" -ge 50 ] || complain "$page has lost its table"
while read -r event file; do
  if ! { [ -e "$file" ] && grep -qF "\"$event\"" "$file"; }; then
    found=$(writers "$event")
    if [ "${1:-}" = --fix ] && [ -n "$found" ] && [ "$(wc -l <<<"$found")" = 1 ]; then
      sed -i "s#^| \`$event\` | \`$file\` |#| \`$event\` | \`$found\` |#" "$page"
    else
      complain "$event is not written by $file; it is in: ${found:-no file}"
    fi
  fi
done <<<"$rows"

# Names passed to log::event (on the same line or the next) and to the coordination protocol's event().
written=$(git ls-files 'src/*.cpp' | grep -v '^src/log/' | xargs cat |
  tr '\n' ' ' | grep -oE '\bevent\([^";{(]*"[a-z_]+"' | grep -oE '"[a-z_]+"$' | tr -d '"' | sort -u)
for event in $written; do
  grep -q "^$event " <<<"$rows" || complain "$event is not in the table"
done
[ $failures = 0 ]
