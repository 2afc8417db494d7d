#!/usr/bin/env bash
# Builds, starts the Ventilación example with its stand-ins, applies its file,
# sends a mixed load and prints what came of it. Exits 0 only if every request
# that may run once only was answered after exactly one execution.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/packages.sh
source scripts/fleet.sh

example=${1:-examples/ventilacion}
seconds=${2:-5}
build=build
out=$build/demo
install_packages
cmake -S . -B "$build" -G Ninja >/dev/null
cmake --build "$build" --target mimosacartd mimosacartctl platform_standin \
  server_standin load_tool
rm -rf "$out"
mkdir -p "$out"
trap fleet_stop EXIT

fleet_start "$example" "$build" "$out"
sleep 1
"$build/ctl/mimosacartctl" --settings="$example/operator.toml" \
  apply "$example/services.toml"
status=0
"$build/tests/load_tool" --config="$example/services.toml" \
  --entries="$(fleet_entries "$example")" --rate=300 --seconds="$seconds" \
  --raw="$out/raw.txt" --title="$example: requests by kind and outcome" ||
  status=1

echo
echo "executions of requests that may run once only"
answered=$(awk '$2 == "answered" && $6 != "-"' "$out/raw.txt" | wc -l)
sent=$(awk '$6 != "-"' "$out/raw.txt" | wc -l)
runs=$(awk '$1 == "run" && $5 != "-"' "$out/executions.log" | wc -l)
doubled=$(fleet_doubled "$out" | wc -l)
printf '%-24s %6d\n' "sent" "$sent" "answered" "$answered" \
  "executions" "$runs" "run more than once" "$doubled"
if ((doubled > 0 || answered != sent || runs != sent)); then
  status=1
fi
exit $status
