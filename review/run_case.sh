#!/usr/bin/env bash
# Runs the case in folder $1: exits with 1 if the rule was broken, 0 if it held,
# and 2 if the case could not run.
set -uo pipefail
cd "$(dirname "$0")/.."
number=$1
program=target/daemon/mimosacartd
case=review/out/case-$number
[[ -x $program && -x $case ]] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout --kill-after=1 118 "$case" "$program" "$folder" \
  "review/$number/record.txt"
result=$?
((result <= 1)) || exit 2
exit "$result"
