#!/usr/bin/env bash
# Formatter and linter over every source of ours.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run -Werror "${sources[@]}"
# The linter cannot read the compiler's precompiled headers.
cmake -S . -B build-lint -G Ninja -DCMAKE_DISABLE_PRECOMPILE_HEADERS=ON \
  >/dev/null
mapfile -t units < <(git ls-files '*.cpp' | grep -v '^fuzz/')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build-lint 2>/dev/null |
  tee build-lint/findings.txt
if [[ -s build-lint/findings.txt ]]; then
  echo "the linter has findings" >&2
  exit 1
fi
echo "formatter and linter: clean"
