#!/usr/bin/env bash
# Runs case N of the second review: 1 if its rule was broken, 0 if it held, 2 if
# it could not run. Its record goes into review/N/record.txt, or into the file
# RECORD.
set -uo pipefail
number=${1:?usage: run_case_2.sh N}
cd "$(dirname "$0")/.."
program=target/review-2/case-$number
record=${RECORD:-review/$number/record.txt}
if [[ ! -x $program || ! -x target/daemon/mimosacartd ]]; then
  echo "build first: the deploy file's build, then review/build-2.sh" >&2
  exit 2
fi
timeout -k 2 115 "$program" "$record"
status=$?
((status <= 1)) || status=2
exit "$status"
