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
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  ((number >= 6)) || continue
  g++ "${flags[@]}" "$source" "${objects[@]}" -o "$out/case-$number"
done
