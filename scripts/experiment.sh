#!/usr/bin/env bash
# Measures decisions under load on real processes; one name for each figure.
#   scripts/experiment.sh policies EXAMPLE LOAD [SEEDS] [SECONDS]
#   scripts/experiment.sh skewed   EXAMPLE LOAD [SEEDS] [SECONDS]
#   scripts/experiment.sh crest    EXAMPLE LOAD [SEEDS] [SECONDS]
#   scripts/experiment.sh trouble  EXAMPLE LOAD [SEEDS] [SECONDS]
#   scripts/experiment.sh steady   EXAMPLE LOAD [SEEDS] [SECONDS]
# LOAD is a share of the capacity of the example's largest service. Policies
# are run in turn on the same arrivals and the same work. Raw figures and a
# table go to build/experiments/.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/fleet.sh

name=${1:-}
example=${2:-examples/ventilacion}
load=${3:-0.7}
seeds=${4:-5}
seconds=${5:-8}
case $name in
policies) policies=${POLICIES:-round-robin least-in-flight two-choices slot-ownership} ;;
skewed) policies="least-in-flight slot-ownership" ;;
crest | trouble | steady) policies=${POLICIES:-slot-ownership} ;;
*) sed -n '2,10p' "$0" >&2; exit 2 ;;
esac
build=build
case $example in
*ventilacion) service=records kind=history slots=30 work_ms=19 ;;
*cyngor) service=timetables kind=timetable-check slots=120 work_ms=60 ;;
*) echo "no such example: $example" >&2; exit 2 ;;
esac
rate=$(awk -v s=$slots -v w=$work_ms -v l="$load" 'BEGIN { print l * s / w * 1000 }')
out=$build/experiments/$name-$(basename "$example")-$load
rm -rf "$out"
mkdir -p "$out"
trap fleet_stop EXIT

# run POLICY SEED: one fleet, one load; appends a line to results.txt.
run() {
  local policy=$1 seed=$2 dir=$out/$1-$2 settings options=()
  mkdir -p "$dir/settings"
  cp "$example"/*.toml "$dir/settings/"
  for settings in $(fleet_hosts "$dir/settings"); do
    printf '\n[balancing]\npolicy = "%s"\n' "$policy" >>"$settings"
  done
  fleet_start "$dir/settings" "$build" "$dir"
  sleep 0.7
  "$build/ctl/mimosacartctl" --settings="$example/operator.toml" \
    apply "$example/services.toml" >"$dir/apply.txt"
  [[ $name == skewed ]] && options+=(--first_share=0.5)
  [[ $name == trouble ]] && make_trouble &
  "$build/tests/load_tool" --config="$example/services.toml" \
    --entries="$(fleet_entries "$example")" --mix="$kind=1" --rate="$rate" \
    --seconds="$seconds" --warm_s=1 --seed="$seed" --work_ms=$work_ms \
    --ideal_slots=$slots --raw="$dir/raw.txt" "${options[@]}" >"$dir/load.txt"
  save_metrics "$dir"
  local summary
  summary=$(grep '^summary' "$dir/load.txt")
  echo "policy=$policy seed=$seed ${summary#summary }" | tee -a "$out/results.txt"
  fleet_stop
}

# save_metrics DIR: keeps the metrics of every entry host.
save_metrics() {
  local settings
  for settings in $(fleet_hosts "$1/settings"); do
    curl -s "http://$(fleet_value "$settings" admin)/metrics" \
      >"$1/$(basename "$settings" .toml).metrics"
  done
}

# make_trouble: a noisy neighbour, a slow server and one that fails fast.
make_trouble() {
  local name address slots number=0
  sleep 2
  while read -r name address slots; do
    [[ $name == $service-* ]] || continue
    number=$((number + 1))
    case $number in
    1) curl -s -d 'speed=0.5' "http://$address/control" ;;
    2) curl -s -d 'speed=0.1' "http://$address/control" ;;
    3) curl -s -d 'mode=fail-fast' "http://$address/control" ;;
    esac
  done < <(fleet_servers "$example/services.toml")
}

for ((seed = 1; seed <= seeds; seed++)); do
  for policy in $policies; do
    run "$policy" "$seed"
  done
done

# The table: medians over the seeds, and the spread of the p99.
awk '
  function value(key,   i, part) {
    for (i = 1; i <= NF; i++) {
      split($i, part, "=")
      if (part[1] == key) return part[2]
    }
  }
  {
    p = value("policy")
    if (!(p in count)) order[++kinds] = p
    n = ++count[p]
    p50[p, n] = value("p50"); p99[p, n] = value("p99")
    r50[p, n] = p50[p, n] / value("ideal_p50")
    r99[p, n] = p99[p, n] / value("ideal_p99")
    i99[p, n] = value("ideal_p99"); a99[p, n] = value("added_p99")
    good[p] += value("answered"); all[p] += value("requests")
    late[p] += value("late")
  }
  function median(table, p,   i, j, n, t, v) {
    n = count[p]
    for (i = 1; i <= n; i++) v[i] = table[p, i] + 0
    for (i = 1; i < n; i++)
      for (j = i + 1; j <= n; j++)
        if (v[j] < v[i]) { t = v[i]; v[i] = v[j]; v[j] = t }
    least = v[1]; most = v[n]
    return n % 2 ? v[(n + 1) / 2] : (v[n / 2] + v[n / 2 + 1]) / 2
  }
  END {
    print "| policy | p50 ms | p99 ms (least to most) | ideal p99 ms | p50 / ideal | p99 / ideal | added p99 ms | answered | late |"
    print "|---|---|---|---|---|---|---|---|---|"
    for (k = 1; k <= kinds; k++) {
      p = order[k]; m = median(p99, p); lo = least; hi = most
      printf "| %s | %.1f | %.0f (%.0f to %.0f) | %.0f | %.2f | %.2f | %.1f | %.2f%% | %.2f%% |\n", p,
        median(p50, p), m, lo, hi, median(i99, p), median(r50, p),
        median(r99, p), median(a99, p), 100 * good[p] / all[p],
        100 * late[p] / all[p]
    }
  }' "$out/results.txt" | tee "$out/table.md"
