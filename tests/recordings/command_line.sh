#!/bin/bash
# The commands and options of the program, as its help prints them, against tests/data/command_line.txt.
#   command_line.sh PROGRAM RECORDED
# Recorded on the commit before the refactoring for readability. A line may be changed or removed only with a
# change of the command line that is meant; words of help may change freely.
set -euo pipefail
program=$1
recorded=$2

# A line of help that names an option, a positional argument or a command begins with two blanks. After the name
# comes its value (upper case), if it takes one.
names_of() {
  "$program" "$@" --help | awk -v command="$*" '
    /^  [^ ]/ { print (command == "" ? "(none)" : command) ": " $1 ($2 ~ /^[A-Z]+(:|$)/ && $2 !~ /^[A-Z][a-z]/ ? " " $2 : "") }'
}

all_names() {
  names_of
  for command in serve check resolve conformance; do names_of $command; done
  for command in "" status jobs voters move init audit; do names_of fleet $command; done
  for command in "" show; do names_of shared $command; done
}

diff "$recorded" <(all_names)
