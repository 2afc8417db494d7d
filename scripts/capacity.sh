#!/usr/bin/env bash
# Prints the slopes that docs/CAPACITY.md quotes.
#   scripts/capacity.sh hosts|services|changes|restarts|detection|decisions|process
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh
slopes=build/bench/control_slopes
target=(--services=570 --servers=2900)
case ${1:-} in
hosts) $slopes --hosts=6,12,24,48,96 ;;
services)
  for size in "4 40" "142 725" "285 1450" "570 2900"; do
    read -r services servers <<<"$size"
    $slopes --hosts=12 --services="$services" --servers="$servers"
  done ;;
changes)
  for changes in 0 26000 52000 104000; do
    $slopes --hosts=12 "${target[@]}" --changes_per_day=$changes
  done ;;
restarts)
  for hosts in 12 24 48; do
    $slopes --hosts=$hosts "${target[@]}" --restarts_per_day=17280
  done ;;
detection) build/bench/detection_bench ;;
decisions) build/bench/decision_bench --benchmark_min_time=0.3 ;;
process)
  # Memory and processor time of one real, idle entry host with the whole file.
  out=$(mktemp -d)
  trap 'fleet_stop; rm -rf "$out"' EXIT
  cp examples/ventilacion/bog-a-1.toml examples/ventilacion/operator.toml "$out"
  for services in 4 570; do
    awk -v services=$services 'BEGIN {
      for (s = 0; s < services; s++) {
        printf "[[service]]\nname = \"service-%d\"\n[[service.kind]]\nname = \"read\"\npath = \"/s%d/*\"\nidempotent = true\ndeadline_ms = 2000\n", s, s
        for (t = 0; t < 5 + (s % 11 == 0); t++)
          printf "[[service.server]]\nname = \"server-%d-%d\"\naddress = \"10.%d.%d.1:%d\"\ndata_centre = \"dc-%d\"\nslots = 64\nconnections = 1000\n", s, t, s / 256, s % 256, t + 1, t
      }
    }' >"$out/services.toml"
    build/tests/platform_standin --listen=127.0.0.1:18000 &
    FLEET_PIDS+=($!)
    build/daemon/mimosacartd --settings="$out/bog-a-1.toml" 2>/dev/null &
    host=$!
    FLEET_PIDS+=($host)
    sleep 1
    build/ctl/mimosacartctl --settings="$out/operator.toml" apply \
      "$out/services.toml" >/dev/null || true
    before=$(awk '{ print $14 + $15 }' "/proc/$host/stat")
    sleep 10
    after=$(awk '{ print $14 + $15 }' "/proc/$host/stat")
    echo "services=$services file_bytes=$(stat -c %s "$out/services.toml")" \
      "resident_kb=$(awk '/VmRSS/ { print $2 }' "/proc/$host/status")" \
      "cpu_percent=$(awk -v t=$((after - before)) 'BEGIN { print t / 10 }')"
    fleet_stop
  done ;;
*) sed -n '2,3p' "$0" >&2; exit 2 ;;
esac
