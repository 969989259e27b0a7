# Starts a fleet on loopback and stops it again; for sourcing by scripts that
# run from the root of the project with `set -euo pipefail`.
#
# Every fleet has its own loopback address, so that several can run on one
# machine with the same ports. Only processes started here are stopped, by pid.

FLEET_PLATFORM_PORT=7000
FLEET_CALLERS_PORT=7100
FLEET_OPERATORS_PORT=7200
FLEET_MESH_PORT=7300
FLEET_START_LIMIT_S=${FLEET_START_LIMIT_S:-15}
FLEET_STOP_LIMIT_S=${FLEET_STOP_LIMIT_S:-15}

fleet_ip=""
fleet_dir=""
fleet_bin=""
fleet_nodes=0
fleet_pids=()       # stand-ins, in order of start
fleet_node_pids=()
fleet_names=()
fleet_upstreams=()  # addresses of all upstreams

# fleet_init BUILD_DIR: chooses the address and the folder for files, and makes
# the script stop the fleet however it ends.
fleet_init() {
  fleet_bin=$1
  fleet_dir=$(mktemp -d "${TMPDIR:-/tmp}/skylarkcroft-fleet.XXXXXX")
  fleet_choose_address
  trap fleet_end EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

fleet_choose_address() {
  fleet_ip="127.$((1 + RANDOM % 254)).$((RANDOM % 256)).$((1 + RANDOM % 254))"
}

fleet_fail() {
  echo "fleet: $*" >&2
  exit 1
}

# fleet_spawn NAME COMMAND...: runs a command in the background; its first line
# on standard output tells that it listens. Sets fleet_pid.
fleet_spawn() {
  local name=$1
  shift
  "$@" >"$fleet_dir/$name.out" 2>"$fleet_dir/$name.err" &
  fleet_pid=$!
}

# fleet_await_line NAME PID: waits for the first line of a process.
fleet_await_line() {
  local name=$1 pid=$2 deadline=$((SECONDS + FLEET_START_LIMIT_S))
  until [ -s "$fleet_dir/$name.out" ]; do
    if ! kill -0 "$pid" 2>/dev/null; then
      tail -n 5 "$fleet_dir/$name.err" >&2
      fleet_fail "$name ended before it listened"
    fi
    [ "$SECONDS" -lt "$deadline" ] || fleet_fail "$name did not start in time"
    sleep 0.05
  done
}

# fleet_standin NAME COMMAND...
fleet_standin() {
  local name=$1
  fleet_spawn "$@"
  fleet_pids+=("$fleet_pid")
  fleet_await_line "$name" "$fleet_pid"
}

fleet_platform() {
  fleet_standin platform "$fleet_bin/standins/skylarkcroft_platform_standin" \
    --listen "$fleet_ip:$FLEET_PLATFORM_PORT" "$@"
}

# fleet_engines NAME FIRST_PORT COUNT [OPTION...]
fleet_engines() {
  fleet_upstream_group skylarkcroft_engine_standin "$@"
}

# fleet_services NAME FIRST_PORT COUNT [OPTION...]
fleet_services() {
  fleet_upstream_group skylarkcroft_plain_service_standin "$@"
}

fleet_upstream_group() {
  local program=$1 name=$2 port=$3 count=$4 index
  shift 4
  fleet_standin "$name" "$fleet_bin/standins/$program" \
    --listen "$fleet_ip" --first-port "$port" --count "$count" "$@"
  for ((index = 0; index < count; ++index)); do
    fleet_upstreams+=("$fleet_ip:$((port + index))")
  done
}

# fleet_node_settings NUMBER ZONE REGION COUNT [MEMBERS]: the settings of a node
# that lists all COUNT nodes as peers; MEMBERS is JSON text of further members.
fleet_node_settings() {
  local number=$1 zone=$2 region=$3 count=$4 members=${5:-} peers="" other
  for ((other = 1; other <= count; ++other)); do
    [ "$other" -eq "$number" ] && continue
    peers+="${peers:+, }\"127.0.0.1:$((FLEET_MESH_PORT + other))\""
  done
  cat <<JSON
{
  "node": {"name": "node-$number", "availability_zone": "$zone", "region": "$region"},
  "listen": {
    "callers": "127.0.0.1:$((FLEET_CALLERS_PORT + number))",
    "operators": "127.0.0.1:$((FLEET_OPERATORS_PORT + number))",
    "mesh": "127.0.0.1:$((FLEET_MESH_PORT + number))"
  },
  "platform": {"tables": "127.0.0.1:$FLEET_PLATFORM_PORT"},
  "mesh_key": "fleet",
  "peers": [$peers]${members:+,
  $members}
}
JSON
}

# fleet_upstream_list NAME FIRST_PORT COUNT SLOTS [ZONE_PREFIX]: JSON array for
# the `upstreams` of a pool, spread over four zones.
fleet_upstream_list() {
  local name=$1 port=$2 count=$3 slots=$4 zone=${5:-zone} index zones=(a b c d) separator=""
  printf '['
  for ((index = 0; index < count; ++index)); do
    printf '%s\n  {"name": "%s-%d", "address": "127.0.0.1:%d", "availability_zone": "%s-%s", "slots": %d}' \
      "$separator" "$name" $((index + 1)) $((port + index)) "$zone" "${zones[index % 4]}" "$slots"
    separator=,
  done
  printf '\n]\n'
}

# fleet_fill FILE NAME JSON: replaces the string "@NAME@" in FILE by JSON.
fleet_fill() {
  local text
  text=$(<"$1")
  printf '%s\n' "${text//"\"@$2@\""/"$3"}" >"$1"
}

# fleet_localize FILE COPY: a copy of a JSON file with the fleet's own address.
fleet_localize() {
  sed "s/127\\.0\\.0\\.1/$fleet_ip/g" "$1" >"$2"
}

# fleet_node SETTINGS: starts the next node, with the fleet's own address in the
# settings.
fleet_node() {
  fleet_nodes=$((fleet_nodes + 1))
  local name="node-$fleet_nodes"
  fleet_localize "$1" "$fleet_dir/$name.json"
  fleet_spawn "$name" "$fleet_bin/src/skylarkcroft" node --settings "$fleet_dir/$name.json"
  fleet_node_pids+=("$fleet_pid")
  fleet_await_line "$name" "$fleet_pid"
}

# fleet_put TABLE FILE: puts a table through the first node.
fleet_put() {
  fleet_localize "$2" "$fleet_dir/$1.json"
  "$fleet_bin/src/skylarkcroft" "$1" put "$fleet_dir/$1.json" \
    --node "$fleet_ip:$((FLEET_OPERATORS_PORT + 1))" >"$fleet_dir/$1.put" ||
    fleet_fail "the table of $1 was not accepted: $(cat "$fleet_dir/$1.put")"
}

# fleet_http_status IP PORT PATH: status of a GET, empty without an answer.
fleet_http_status() {
  timeout 2 bash -c '
    exec 3<>"/dev/tcp/$0/$1" || exit 0
    printf "GET %s HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n" "$2" >&3
    read -r _ status _ <&3 && echo "$status"' "$1" "$2" "$3" 2>/dev/null || true
}

# fleet_http_get ADDRESS PATH: prints the last line of the answer.
fleet_http_get() {
  timeout 2 bash -c '
    exec 3<>"/dev/tcp/$0/$1" || exit 0
    printf "GET %s HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n" "$2" >&3
    tail -n 1 <&3' "${1%:*}" "${1##*:}" "$2" 2>/dev/null || true
}

# fleet_http_post ADDRESS PATH BODY: sends a JSON document, fails without a 2xx.
fleet_http_post() {
  local status
  status=$(timeout 2 bash -c '
    exec 3<>"/dev/tcp/$0/$1" || exit 0
    printf "POST %s HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s" \
      "$2" "${#3}" "$3" >&3
    read -r _ status _ <&3 && echo "$status"' "${1%:*}" "${1##*:}" "$2" "$3" 2>/dev/null || true)
  [[ $status == 2* ]] || fleet_fail "POST $2 to $1 was answered ${status:-nothing}"
}

# fleet_await_ready: waits until every node serves callers.
fleet_await_ready() {
  local number deadline=$((SECONDS + FLEET_START_LIMIT_S))
  for ((number = 1; number <= fleet_nodes; ++number)); do
    until [ "$(fleet_http_status "$fleet_ip" $((FLEET_CALLERS_PORT + number)) /readyz)" = 200 ]; do
      [ "$SECONDS" -lt "$deadline" ] || fleet_fail "node-$number is not ready in time"
      sleep 0.1
    done
  done
}

# fleet_callers_addresses: IP:PORT,... of all nodes.
fleet_callers_addresses() {
  local number list=""
  for ((number = 1; number <= fleet_nodes; ++number)); do
    list+="${list:+,}$fleet_ip:$((FLEET_CALLERS_PORT + number))"
  done
  echo "$list"
}

fleet_upstream_addresses() {
  local IFS=,
  echo "${fleet_upstreams[*]}"
}

# fleet_usage: processor time and resident memory of each node so far.
fleet_usage() {
  local number=0 pid
  for pid in "${fleet_node_pids[@]}"; do
    number=$((number + 1))
    awk -v node="node-$number" -v hertz="$(getconf CLK_TCK)" -v page="$(getconf PAGESIZE)" '{
      printf "%s cpu_s %.2f rss_mb %.1f\n", node, ($14 + $15) / hertz, $24 * page / 1048576
    }' "/proc/$pid/stat" 2>/dev/null || true
  done
}

# fleet_stop_pids PID...: asks processes to end, and kills those that do not.
fleet_stop_pids() {
  local pid deadline=$((SECONDS + FLEET_STOP_LIMIT_S))
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    while kill -0 "$pid" 2>/dev/null; do
      if [ "$SECONDS" -ge "$deadline" ]; then
        echo "fleet: process $pid did not end in time and is killed" >&2
        kill -KILL "$pid" 2>/dev/null || true
        break
      fi
      sleep 0.05
    done
    wait "$pid" 2>/dev/null || true
  done
}

# fleet_stop: ends the nodes in order, then the stand-ins.
fleet_stop() {
  fleet_stop_pids ${fleet_node_pids[@]+"${fleet_node_pids[@]}"}
  fleet_stop_pids ${fleet_pids[@]+"${fleet_pids[@]}"}
  fleet_node_pids=()
  fleet_pids=()
  fleet_upstreams=()
  fleet_nodes=0
  fleet_choose_address
}

fleet_end() {
  local status=$?
  trap - EXIT
  fleet_stop
  if [ "$status" -ne 0 ] && [ -n "${FLEET_KEEP:-}" ]; then
    echo "fleet: files are kept in $fleet_dir" >&2
  else
    rm -rf "$fleet_dir"
  fi
  exit "$status"
}
