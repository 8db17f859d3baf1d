#!/bin/bash
# Tests the adapter's pipe protocol from outside: empty batches, the end of input, malformed frames.
# Usage: tests/adapter.sh PATH-TO-SIMHOST
set -u
host=$1
failed=0
passed=0
check() { # name, hex input, expected exit code, expected hex output ('-': any), expected text on standard error
  local out code err
  err=$(mktemp)
  out=$(printf "$(printf '%s' "$2" | tr -d ' ' | sed 's/../\\x&/g')" | "$host" 2>"$err" | od -An -v -tx1 | tr -d ' \n'; exit "${PIPESTATUS[1]}")
  code=$?
  if [ "$code" -ne "$3" ] || { [ "$4" != - ] && [ "$out" != "$4" ]; } || { [ -n "$5" ] && ! grep -q -- "$5" "$err"; } ||
    [ "$(wc -l <"$err")" -gt 1 ]; then
    echo "FAILED $1: exit $code, output $out, standard error: $(cat "$err")"
    failed=$((failed + 1))
  else
    passed=$((passed + 1))
  fi
  rm -f "$err"
}
clock=508d976e12d32040
check "end of input" "" 0 "" ""
check "an empty batch" "00000000 $clock 00000000" 0 "0000000000000000" ""
check "a cut header" "00000000 508d" 1 "" "inside a frame's header"
check "a cut frame" "10000000 $clock 01000000 0b" 1 "" "inside a frame"
check "an oversized frame" "ffffffff $clock 01000000" 1 "" "a frame of 4294967295 bytes"
check "an unknown code" "05000000 $clock 01000000 6300000000" 1 - "unknown code 99"
check "an event before INSTANCE" "0d000000 $clock 01000000 07080000004d00000000000000" 1 - "before INSTANCE"
check "an instance that was not started" \
  "16000000 $clock 02000000 0b0400000003000000 07080000004d00000000000000" 1 - "not started"
check "malformed settings" \
  "26000000 $clock 02000000 0b0400000003000000 01 18000000 0100000000000000 0b000000 62616c616e636572733d78 00" \
  1 - "spare"
check "a setting that is no number" \
  "26000000 $clock 02000000 0b0400000003000000 01 18000000 0100000000000000 0c000000 62616c616e636572733d7878" \
  1 - "balancers has the value"
# PROVISION without settings, an empty cached list, DETACH, PROVISION again in the same batch, GONE of an
# unknown request
start="01 0c000000 0100000000000000 00000000 02 09000000 01 01000000 00000000"
check "restart in one batch" \
  "59000000 $clock 07000000 0b0400000003000000 $start 0a00000000 $start 06080000000900000000000000" 0 \
  "0000000000000000" ""
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
