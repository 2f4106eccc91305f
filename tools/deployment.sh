# Functions that run a deployment (platform, nodes, backend servers) on loopback. Sourced by the demo, the
# hop measurement and the end-to-end tests. stop_processes stops all processes.
#
# Variables to set before use: BUILD (build folder), WORK (folder for settings and logs).
# Ports of a deployment with base B: platform B, node i: callers B+100+i, local B+200+i,
# operators B+300+i, peers B+400+i; backend server i: B+500+i.

PROCESSES=""

# start_process LOG COMMAND... : starts a process and sets LAST_PID.
start_process() {
    local log=$1
    shift
    "$@" > "$WORK/$log.log" 2>&1 &
    LAST_PID=$!
    PROCESSES="$PROCESSES $LAST_PID"
}

# stop_processes : sends SIGTERM to all processes, then SIGKILL to those still running after 5 s.
stop_processes() {
    local pid
    for pid in $PROCESSES; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -TERM "$pid" 2> /dev/null || true
    done
    local waited=0
    while [ $waited -lt 50 ] && any_process_alive; do
        sleep 0.1
        waited=$((waited + 1))
    done
    for pid in $PROCESSES; do
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    PROCESSES=""
}

any_process_alive() {
    local pid
    for pid in $PROCESSES; do
        kill -0 "$pid" 2> /dev/null && return 0
    done
    return 1
}

# write_node_settings EXAMPLE BASE INDEX DOMAIN PEERS : PEERS is a JSON list of peer addresses.
write_node_settings() {
    local example=$1 base=$2 index=$3 domain=$4 peers=$5
    cat > "$WORK/node-$base-$index.json" << SETTINGS
{
  "failureDomain": "$domain",
  "listen": {
    "callers": "127.0.0.1:$((base + 100 + index))",
    "local": "127.0.0.1:$((base + 200 + index))",
    "operators": "127.0.0.1:$((base + 300 + index))",
    "peers": "127.0.0.1:$((base + 400 + index))"
  },
  "peers": $peers,
  "platform": {"table": "127.0.0.1:$base", "objects": "127.0.0.1:$base"},
  "mesh": $(cat "examples/$example/mesh.json"),
  "digestKey": "$(tr -d '\n' < "examples/$example/digest.key")",
  "log": {"level": "${NODE_LOG_LEVEL:-info}", "file": "$WORK/node-$base-$index.decisions.log"}
}
SETTINGS
}

# start_node BASE INDEX : starts a node; call write_node_settings first.
start_node() {
    start_process "node-$1-$2" "$BUILD/packages/node/chervilmount-node" "$WORK/node-$1-$2.json"
}

# start_backend BASE INDEX SERVICE SLOTS CONNECTIONS SERVICE_TIME_MS CALLS
start_backend() {
    start_process "backend-$1-$2" "$BUILD/standins/standin-backend" \
        --listen "127.0.0.1:$(($1 + 500 + $2))" --node "127.0.0.1:$(($1 + 200 + $2))" \
        --service "$3" --slots "$4" --connections "$5" --service-time "$6" --calls "$7"
}

start_platform() {
    start_process "platform-$1" "$BUILD/standins/standin-platform" --listen "127.0.0.1:$1"
}

# set_faults ADDRESS JSON : enables or disables faults of a stand-in.
set_faults() {
    curl -s -f -m 2 -o /dev/null -X POST "http://$1/standin/faults" -d "$2"
}

# wait_until SECONDS COMMAND... : retries the command until it succeeds.
wait_until() {
    local seconds=$1 tries
    shift
    tries=$((seconds * 5))
    while [ $tries -gt 0 ]; do
        "$@" > /dev/null 2>&1 && return 0
        sleep 0.2
        tries=$((tries - 1))
    done
    echo "error: command did not succeed within $seconds s: $*" >&2
    return 1
}

node_is_ready() {
    curl -s -f -m 1 -o /dev/null "http://127.0.0.1:$(($1 + 300 + $2))/ready"
}

node_is_healthy() {
    curl -s -f -m 1 -o /dev/null "http://127.0.0.1:$(($1 + 300 + $2))/health"
}

# publish_example EXAMPLE BASE VERSION : publishes the example through node 0.
publish_example() {
    "$BUILD/packages/command/chervilmount-ctl" --node "127.0.0.1:$(($2 + 300))" \
        --expected-version "$3" publish "examples/$1/services.json" "examples/$1/domains.json" \
        "examples/$1/organisations.json"
}

# Each service has two backend servers, in two of the four failure domains and in both regions.
# A service is name:slots:connections:service time in milliseconds:called services.
addis_domains="addis-1 addis-2 dire-1 dire-2"
addis_services="bundler:50:400:10:printhall printhall:50:400:20:slipdesk slipdesk:50:400:20:staffrolls staffrolls:20:200:40:"
halvern_domains="north-1 north-2 south-1 south-2"
halvern_services="orders:150:1000:15:catalogue,stock catalogue:150:1000:15:drawings drawings:150:1000:15:stock stock:30:300:30:"
NODE_COUNT=8

# read_layout EXAMPLE : sets DOMAINS and SERVICES.
read_layout() {
    local domains="$1_domains" services="$1_services"
    read -r -a DOMAINS <<< "${!domains}"
    read -r -a SERVICES <<< "${!services}"
}

# domain_of INDEX : prints the failure domain of a node; call read_layout first.
domain_of() {
    echo "${DOMAINS[$((($1 % 4 + $1 / 4 * 2) % 4))]}"
}

# start_backend_of BASE INDEX : starts the backend server of a node; call read_layout first.
start_backend_of() {
    local name slots connections milliseconds calls
    IFS=: read -r name slots connections milliseconds calls <<< "${SERVICES[$(($2 % 4))]}"
    start_backend "$1" "$2" "$name" "$slots" "$connections" "$milliseconds" "$calls"
}

# write_settings_of_all EXAMPLE BASE
write_settings_of_all() {
    local index
    read_layout "$1"
    for ((index = 0; index < NODE_COUNT; index++)); do
        write_node_settings "$1" "$2" "$index" "$(domain_of "$index")" \
            "[\"127.0.0.1:$(($2 + 400))\", \"127.0.0.1:$(($2 + 401))\"]"
    done
}

# start_processes EXAMPLE BASE : starts platform, nodes and backend servers; sets NODE_PIDS.
start_processes() {
    local index
    read_layout "$1"
    NODE_PIDS=()
    start_platform "$2"
    for ((index = 0; index < NODE_COUNT; index++)); do
        start_node "$2" "$index"
        NODE_PIDS+=("$LAST_PID")
        start_backend_of "$2" "$index"
    done
}

# start_deployment EXAMPLE BASE : starts all processes, publishes the example and waits until all nodes are ready.
start_deployment() {
    local index
    write_settings_of_all "$1" "$2"
    start_processes "$1" "$2"
    wait_until 15 node_is_healthy "$2" 0
    publish_example "$1" "$2" 0
    for ((index = 0; index < NODE_COUNT; index++)); do
        wait_until 15 node_is_ready "$2" "$index"
    done
}

# write_scenario EXAMPLE BASE SECONDS SURGE_PARTS : writes the load scenario of the example from its template.
# With SURGE_PARTS 3 the surge is the middle third; with 0 there is no surge.
write_scenario() {
    local base=$2 milliseconds=$(($3 * 1000)) index nodes="" backends="" start=0 end=0
    for ((index = 0; index < NODE_COUNT; index++)); do
        nodes="$nodes,\"127.0.0.1:$((base + 100 + index))\""
        backends="$backends,\"127.0.0.1:$((base + 500 + index))\""
    done
    [ "$4" -eq 0 ] || { start=$((milliseconds / $4)); end=$((milliseconds * 2 / $4)); }
    sed -e "s/\"@NODES@\"/${nodes#,}/" -e "s/\"@BACKENDS@\"/${backends#,}/" \
        -e "s/\"@DURATION@\"/$milliseconds/" -e "s/\"@SURGE_START@\"/$start/" \
        -e "s/\"@SURGE_END@\"/$end/" "examples/$1/load.template" > "$WORK/load-$1.json"
}
