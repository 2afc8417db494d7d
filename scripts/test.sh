#!/usr/bin/env bash
# Installs what is missing, builds, and passes the tests.
#   scripts/test.sh [--filter LABEL-OR-NAME] [--repeat N]
# Tests named in KNOWN-RED.txt are run and printed, but decide nothing.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/packages.sh

filter=
repeat=1
while (($# > 0)); do
  case $1 in
  --filter) filter=$2; shift 2 ;;
  --repeat) repeat=$2; shift 2 ;;
  *) echo "usage: scripts/test.sh [--filter LABEL-OR-NAME] [--repeat N]" >&2
     exit 2 ;;
  esac
done

build=build
install_packages
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" | tail -n 1

select=()
if [[ -n $filter ]]; then
  # Kept first: grep -q would end the pipe early, which counts as a failure.
  labels=$(ctest --test-dir "$build" --print-labels)
  if grep -qx "  $filter" <<<"$labels"; then
    select=(-L "^$filter\$")
  else
    select=(-R "$filter")
  fi
fi
known=
if [[ -f KNOWN-RED.txt ]]; then
  known=$(sed -n 's/^test: //p' KNOWN-RED.txt | paste -sd '|' -)
fi
skip=()
if [[ -n $known ]]; then
  skip=(-E "^($known)\$")
fi

for ((round = 1; round <= repeat; round++)); do
  if ((repeat > 1)); then
    echo "round $round of $repeat"
  fi
  ctest --test-dir "$build" --output-on-failure --no-tests=error -j 4 \
    "${select[@]}" "${skip[@]}"
done
if [[ -n $known ]]; then
  echo "known to fail, see KNOWN-RED.txt:"
  ctest --test-dir "$build" -j 4 -R "^($known)\$" || true
fi
