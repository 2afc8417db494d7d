#!/usr/bin/env bash
# Builds the stand-ins and clients of the review's cases into review/out/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p out
options=(-std=c++20 -O2 -Wall -Wextra -pthread)
for source in standins/*.cpp; do
  g++ "${options[@]}" -c "$source" -o "out/$(basename "$source" .cpp).o" &
done
wait
for folder in [1-9]; do
  if [[ -f $folder/case.cpp ]]; then
    g++ "${options[@]}" "$folder/case.cpp" out/*.o -o "out/case-$folder"
  fi
done
