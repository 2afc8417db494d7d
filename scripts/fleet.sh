# Shell functions that start and stop a whole example on this machine; to be
# sourced. Every process is stopped by its id.

FLEET_PIDS=()

# fleet_servers FILE: prints "name address slots" for each backend server.
fleet_servers() {
  awk '
    /^\[\[service.server\]\]/ { server = 1; next }
    /^\[/ { server = 0 }
    server && /^name/ { split($0, part, "\""); name = part[2] }
    server && /^address/ { split($0, part, "\""); address = part[2] }
    server && /^slots/ { split($0, part, "= "); print name, address, part[2] }
  ' "$1"
}

# fleet_value FILE KEY: prints the first value of KEY without its quotes.
fleet_value() {
  sed -n "s/^$2 = \"\\(.*\\)\"/\\1/p" "$1" | head -n 1
}

# fleet_hosts DIR: prints the settings files of the entry hosts.
fleet_hosts() {
  grep -l '^\[listen\]' "$1"/*.toml
}

# fleet_start EXAMPLE BUILD OUT [SERVER OPTIONS...]: starts the platform, the
# backend servers and the entry hosts; logs go to OUT.
fleet_start() {
  local example=$1 build=$2 out=$3 name address slots settings seed=1
  shift 3
  "$build/tests/platform_standin" \
    --listen="$(fleet_value "$example/operator.toml" address)" \
    >"$out/platform.log" 2>&1 &
  FLEET_PIDS+=($!)
  while read -r name address slots; do
    "$build/tests/server_standin" --listen="$address" --name="$name" \
      --slots="$slots" --seed=$((seed++)) --log="$out/executions.log" "$@" \
      >"$out/$name.log" 2>&1 &
    FLEET_PIDS+=($!)
  done < <(fleet_servers "$example/services.toml")
  for settings in $(fleet_hosts "$example"); do
    "$build/daemon/mimosacartd" --settings="$settings" \
      >"$out/$(basename "$settings" .toml).log" 2>&1 &
    FLEET_PIDS+=($!)
  done
}

# fleet_entries EXAMPLE: prints the callers' addresses, comma-separated.
fleet_entries() {
  local settings list=
  for settings in $(fleet_hosts "$1"); do
    list+="$(fleet_value "$settings" callers),"
  done
  echo "${list%,}"
}

# fleet_stop: ends every process that fleet_start started.
fleet_stop() {
  local pid
  for pid in "${FLEET_PIDS[@]}"; do
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  FLEET_PIDS=()
}

# fleet_doubled OUT: prints keys that ran more than once.
fleet_doubled() {
  awk '$1 == "run" && $5 != "-" { count[$5]++ }
       END { for (key in count) if (count[key] > 1) print key, count[key] }' \
    "$1/executions.log"
}
