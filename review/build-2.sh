#!/usr/bin/env bash
# Builds the stand-ins and the cases of the second review into target/review-2/.
# The build command of the deploy file makes the entry host itself.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
objects=()
pids=()
for source in review/standins-2/*.cpp; do
  object=$out/$(basename "$source" .cpp).o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
# The build of the earlier review takes every case.cpp, so no source here has
# that name.
for number in 6 7 8 9 10; do
  for source in review/"$number"/*.cpp; do
    [[ -f $source ]] || continue
    g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
  done
done
