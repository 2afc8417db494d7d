#!/usr/bin/env bash
# Formatter and linter over every source of ours; needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files '*.cpp' '*.h' | grep -v '^wire/generated/')
clang-format --dry-run -Werror "${sources[@]}"
mapfile -t units < <(git ls-files '*.cpp')
printf '%s\n' "${units[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null |
  tee build/lint.txt
if [[ -s build/lint.txt ]]; then
  echo "the linter has findings" >&2
  exit 1
fi
echo "formatter and linter: clean"
