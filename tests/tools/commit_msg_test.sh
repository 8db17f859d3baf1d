#!/bin/bash
# Checks which commits .githooks/commit-msg accepts and rejects, in a temporary repository.
#
#   commit_msg_test.sh HOOK
set -euo pipefail
hook=$(realpath "$1")
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
cd "$folder"
git init -q .
git config user.name test
git config user.email test@example.org
git config commit.gpgsign false
mkdir hooks
cp "$hook" hooks/commit-msg
git config core.hooksPath hooks

failures=0
# expect taken|refused DESCRIPTION FILE MESSAGE: commits a change of this file with this message.
expect() {
  echo "$RANDOM $2" >> "$3"
  git add "$3"
  if git commit -q -m "$4" 2>error; then got=taken; else got=refused; fi
  if [ "$got" != "$1" ]; then
    echo "$2: $got, expected $1: $(cat error)"
    failures=$((failures + 1))
  fi
}

title_90=$(printf 'a%.0s' {1..90})
wide_90=$(printf 'ä%.0s' {1..90})
expect taken "title of 90 characters, code with a body" router.cpp "$title_90"$'\n\nCause and change.'
expect refused "title of 91 characters" router.cpp "${title_90}a"$'\n\nCause and change.'
expect taken "90 characters of two bytes each" router.cpp "$wide_90"$'\n\nCause and change.'
expect refused "code without a body" router.h "Split the broker"
expect refused "code with a body of blanks" router.h $'Split the broker\n\n   \n'
git reset -q
rm -f router.h
expect taken "a page without a body" page.md "Describe the broker"
expect refused "a page with a title of 91 characters" page.md "${title_90}a"
git reset -q
git checkout -q -- page.md
expect taken "a merge" router.cpp "Merge branch 'quota'"
[ "$failures" = 0 ]
