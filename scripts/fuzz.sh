#!/usr/bin/env bash
# Fuzzes the parsers of ours with libFuzzer: a fixed seed, count and corpus, so
# that the verdict is the same every time.
#   scripts/fuzz.sh [RUNS]
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/packages.sh
install_packages
runs=${1:-20000}
build=build-fuzz
cmake -S . -B "$build" -G Ninja -DMIMOSACART_FUZZ=ON \
  -DCMAKE_C_COMPILER=clang -DCMAKE_CXX_COMPILER=clang++ >/dev/null
cmake --build "$build" --target configuration_fuzzer settings_fuzzer \
  peer_fuzzer platform_fuzzer | tail -n 1
for name in configuration settings peer platform; do
  work=$build/corpus/$name
  rm -rf "$work"
  mkdir -p "$work"
  "$build/fuzz/${name}_fuzzer" -runs="$runs" -seed=1 -max_len=4096 \
    -artifact_prefix="$build/" "$work" "fuzz/corpus/$name" \
    2>"$build/$name.log" || { tail -n 30 "$build/$name.log" >&2; exit 1; }
  echo "$name: $runs inputs, no fault"
done
