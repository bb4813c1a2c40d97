# Starts a small fleet on loopback for the demo and the process tests: one log, one instance list, two services with
# three executors each, workers, and entries in three zones. To be sourced after demo/processes.bash.

OPERATOR_KEY=${OPERATOR_KEY:-operator-key-of-the-demo}
export HEMLOCKVANE_OPERATOR_KEY=$OPERATOR_KEY
ZONES=(z1 z2 z3)
declare -A OPERATORS_OF TRAFFIC_OF

# startPlatform: starts the log service and the instance list. LOG_OPTIONS and LIST_OPTIONS are added to their command
# lines.
startPlatform() {
    startStandin log LogStandin ${LOG_OPTIONS:-}
    startStandin instances InstancesStandin ${LIST_OPTIONS:-}
}

# registerInstance NAME JSON: puts an instance on the instance list.
registerInstance() { call PUT "${ADDRESS_OF[instances]}" "/v1/instances/$1" "$2" >/dev/null; }

# startExecutor NAME SERVICE ZONE [OPTIONS...]: starts an executor and puts it on the instance list.
startExecutor() {
    local name=$1 service=$2 zone=$3
    shift 3
    startStandin "$name" ExecutorStandin --name "$name" --service "$service" "$@"
    registerInstance "$name" "{\"kind\":\"executor\",\"service\":\"$service\",\"zone\":\"$zone\",\"rack\":\"$zone-r1\",
        \"address\":\"${ADDRESS_OF[$name]}\",\"state\":\"live\"}"
}

# startWorker NAME POOL ZONE RACK [OPTIONS...]: starts a worker and puts it on the instance list.
startWorker() {
    local name=$1 pool=$2 zone=$3 rack=$4
    shift 4
    startStandin "$name" WorkerStandin --name "$name" "$@"
    registerInstance "$name" "{\"kind\":\"worker\",\"pool\":\"$pool\",\"zone\":\"$zone\",\"rack\":\"$rack\",
        \"address\":\"${ADDRESS_OF[$name]}\",\"state\":\"live\"}"
}

# startServices [OPTIONS...]: starts the services orders and shades, with one executor of each in every zone.
startServices() {
    local service zone
    for service in orders shades; do
        for zone in "${ZONES[@]}"; do startExecutor "$service-$zone" "$service" "$zone" "$@"; done
    done
}

# writeSettings NAME ZONE: writes the settings of an entry to LOGS/NAME.yaml. TIMING, if set,
# replaces the lines of the timing section; ENTRY_LIMITS, if set, has the lines of the limits section.
writeSettings() {
    cat >"$LOGS/$1.yaml" <<YAML
instance: $1
zone: $2
region: demo
traffic:
  listen: ${TRAFFIC_OF[$1]:-127.0.0.1:0}
operators:
  listen: ${OPERATORS_OF[$1]:-127.0.0.1:0}
  key_hash: "$(printf '%s' "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)"
peers:
  listen: tcp://127.0.0.1:0
log:
  address: ${ADDRESS_OF[log]}
instances:
  address: ${ADDRESS_OF[instances]}
timing:
${TIMING:-  vouch_ms: 3000
  list_lag_ms: 500
  beat_ms: 200}
${ENTRY_LIMITS:+limits:
$ENTRY_LIMITS}
YAML
}

# startEntry NAME ZONE: starts an entry and waits until it is healthy. A restarted entry keeps its ports and gets a new
# instance id.
startEntry() {
    local name=$1 line
    writeSettings "$name" "$2"
    : >"$LOGS/$name.log"
    start "$name" "$BIN/hemlockvane" serve --settings "$LOGS/$name.yaml"
    if ! waitFor 20 grep -q 'callers on ' "$LOGS/$name.log"; then
        echo "entry $name did not start: $(cat "$LOGS/$name.log")" >&2
        exit 1
    fi
    line=$(grep -o 'callers on .*' "$LOGS/$name.log" | head -1)
    TRAFFIC_OF[$name]=$(sed -E 's/callers on ([^,]*),.*/\1/' <<<"$line")
    OPERATORS_OF[$name]=$(sed -E 's/.*operators on ([^,]*),.*/\1/' <<<"$line")
    if ! waitFor 30 entryIsHealthy "$name"; then
        echo "entry $name is not healthy: $(call GET "${TRAFFIC_OF[$name]}" /health)" >&2
        tail -20 "$LOGS/$name.log" >&2
        exit 1
    fi
}

entryIsHealthy() {
    grep -q "membership: joined" "$LOGS/$1.log" && call GET "${TRAFFIC_OF[$1]}" /health | tail -1 | grep "^200$"
}

# startEntries: starts entry-z1, entry-z2 and entry-z3.
startEntries() {
    local zone
    for zone in "${ZONES[@]}"; do startEntry "entry-$zone" "$zone"; done
}

# ctl ENTRY ARGUMENTS..., submit ENTRY,... ARGUMENTS...: run the command against the entries; print its standard
# output and standard error, then "exit CODE".
ctl() {
    local entry=$1 code=0
    shift
    "$BIN/hemlockvane" ctl --address "${OPERATORS_OF[$entry]}" --author "${AUTHOR:-demo}" "$@" 2>&1 || code=$?
    echo "exit $code"
}

submit() {
    local entries=$1 addresses='' entry code=0
    shift
    for entry in ${entries//,/ }; do addresses+="${addresses:+,}${TRAFFIC_OF[$entry]}"; done
    "$BIN/hemlockvane" submit --address "$addresses" ${TEAM_KEY:+--key "$TEAM_KEY"} "$@" 2>&1 || code=$?
    echo "exit $code"
}

# executionsOf KEY: prints how often the executors together ran a request with that idempotency key.
executionsOf() {
    local name total=0 count
    for name in "${!ADDRESS_OF[@]}"; do
        case $name in orders-* | shades-*) ;; *) continue ;; esac
        count=$(call GET "${ADDRESS_OF[$name]}" /standin/executions | grep -oE "\"$1\":[0-9]+" | cut -d: -f2)
        total=$((total + ${count:-0}))
    done
    echo "$total"
}

# keysRunTwice: prints the number of idempotency keys that the executors together ran more than once.
keysRunTwice() {
    local name
    for name in "${!ADDRESS_OF[@]}"; do
        case $name in orders-* | shades-*) ;; *) continue ;; esac
        call GET "${ADDRESS_OF[$name]}" /standin/executions | grep -oE '"keys":\{[^}]*' | grep -oE '"[0-9a-f-]{36}":[0-9]+'
    done | awk -F: '{ runs[$1] += $2 } END { for (key in runs) twice += runs[key] > 1; print twice + 0 }'
}

# taskExecutionsOf JOB: prints how often the workers together ran a job.
taskExecutionsOf() {
    local name total=0 count
    for name in "${!ADDRESS_OF[@]}"; do
        case $name in worker-*) ;; *) continue ;; esac
        count=$(call GET "${ADDRESS_OF[$name]}" /v1/tasks | grep -oE "\"executions\":\{[^}]*" | grep -oE "\"$1\":[0-9]+" | cut -d: -f2)
        total=$((total + ${count:-0}))
    done
    echo "$total"
}

# newKey: prints a new idempotency key, a UUIDv7, for a request that may not be repeated.
newKey() {
    local now random
    now=$(printf '%012x' "$(date +%s%3N)")
    random=$(od -An -N10 -tx1 /dev/urandom | tr -d ' \n')
    echo "${now:0:8}-${now:8:4}-7${random:0:3}-8${random:3:3}-${random:6:12}"
}

# startFleet [OPTIONS OF THE EXECUTORS...]: starts platform, services, two workers and three entries; sets TEAM_KEY
# and grants that key to the team counter.
startFleet() {
    startPlatform
    startServices "$@"
    startWorker worker-1 batch z1 z1-r1
    startWorker worker-2 batch z2 z2-r1
    startEntries
    TEAM_KEY=counter-secret
    ctl entry-z1 grant counter-key counter --secret "$TEAM_KEY" >/dev/null
    ctl entry-z1 add-instance worker-1 batch z1 z1-r1 32 128000 >/dev/null
    ctl entry-z1 add-instance worker-2 batch z2 z2-r1 32 128000 >/dev/null
    for zone in "${ZONES[@]}"; do
        waitFor 10 keyIsAccepted "entry-$zone" || echo "the team's key does not work at entry-$zone" >&2
    done
}

keyIsAccepted() { [ "$(submit "$1" --method GET request orders /price | tail -1)" = 'exit 0' ]; }

# setFaults NAME JSON: switches faults of a stand-in on or off.
setFaults() { call POST "${ADDRESS_OF[$1]}" /faults "$2" >/dev/null; }

# submitUntilDecided ENTRIES ARGUMENTS...: repeats a submit, for up to 40 s, while it is refused with the advice to
# retry or no entry answers; prints the last answer.
submitUntilDecided() {
    local until=$((SECONDS + 40)) answer
    while true; do
        answer=$(submit "$@")
        case $answer in *'a retry may succeed'* | *'no entry answered'*) ;; *) break ;; esac
        [ "$SECONDS" -lt "$until" ] || break
        sleep 0.3
    done
    printf '%s\n' "$answer"
}

# startTraffic NUMBER ENTRIES ARGUMENTS...: starts NUMBER background loops that repeat the same submit.
startTraffic() {
    local number=$1 index
    shift
    rm -f "$LOGS/stop-traffic" "$LOGS"/traffic-*.out
    for ((index = 0; index < number; index++)); do
        (while [ ! -e "$LOGS/stop-traffic" ]; do submit "$@"; done >"$LOGS/traffic-$index.out") &
        TRAFFIC_PIDS+=($!)
    done
}

# stopTraffic: ends the loops; sets TRAFFIC_TOTAL, TRAFFIC_FAILED and TRAFFIC_ERRORS, the three most frequent errors.
TRAFFIC_PIDS=()
stopTraffic() {
    touch "$LOGS/stop-traffic"
    wait "${TRAFFIC_PIDS[@]}"
    TRAFFIC_PIDS=()
    TRAFFIC_TOTAL=$(cat "$LOGS"/traffic-*.out | grep -c '^exit ')
    TRAFFIC_FAILED=$(cat "$LOGS"/traffic-*.out | grep '^exit ' | grep -vc '^exit 0$')
    TRAFFIC_ERRORS=$(cat "$LOGS"/traffic-*.out | grep -E '^refused|^no entry' | sort | uniq -c | sort -rn | head -3)
}
