# Starting and stopping the processes of a trial deployment. Sourced by the scripts beside this folder.
# Needs: build (the build folder). Keeps one line a process in $run/processes: PID NAME PORT.

# start_process RUN NAME PROGRAM SETTINGS PORT: starts one process, its log in RUN/NAME.log
start_process() {
    local run=$1 name=$2 program=$3 settings=$4 port=$5
    "$build/$program" --settings "$settings" --log-level "${log_level:-info}" >>"$run/$name.log" 2>&1 </dev/null &
    echo "$! $name $port" >>"$run/processes"
}

# process_id RUN NAME: prints the process id of a running process
process_id() {
    awk -v name="$2" '$2 == name { id = $1 } END { print id }' "$1/processes"
}

# start_deployment RUN FOLDER: writes the settings and starts every process of a deployment
start_deployment() {
    local run=$1 folder=$2
    mkdir -p "$run"
    : >"$run/processes"
    ./scripts/write-settings "$folder" "$run" >"$run/plan"
    while read -r name program settings port; do
        start_process "$run" "$name" "$program" "$settings" "$port"
    done <"$run/plan"
}

# start_sized_deployment RUN COUNT: starts the Grauenfels deployment with another number of routers, and waits for them
start_sized_deployment() {
    local run=$1 count=$2
    mkdir -p "$run/source"
    cp deployments/grauenfels/tree.json "$run/source/"
    sed "s/\"routers\": [0-9]*/\"routers\": $count/" deployments/grauenfels/topology.json >"$run/source/topology.json"
    start_deployment "$run" "$run/source"
    wait_ready "$run"
}

# wait_ready RUN: waits until every router takes callers
wait_ready() {
    local run=$1 port tries
    for port in $(awk '$2 == "snowrudder-router" { print $4 }' "$run/plan"); do
        tries=0
        until curl -sf -o /dev/null --max-time 1 "http://127.0.0.1:$port/readyz"; do
            tries=$((tries + 1))
            if [ "$tries" -gt 100 ]; then
                echo "a router on port $port did not get ready; the end of its log:" >&2
                tail -n 3 "$run"/entry-*.log >&2
                return 1
            fi
            sleep 0.1
        done
    done
}

# stop_deployment RUN: asks every process started here to stop, and waits for it
stop_deployment() {
    local run=$1 pid name port
    [ -f "$run/processes" ] || return 0
    while read -r pid name port; do
        kill -TERM "$pid" 2>/dev/null || true
    done <"$run/processes"
    while read -r pid name port; do
        wait "$pid" 2>/dev/null || true
    done <"$run/processes"
    rm -f "$run/processes"
}

# router_ports RUN: prints the ports of all routers, joined by commas
router_ports() {
    awk '$2 == "snowrudder-router" { print $4 }' "$1/plan" | paste -sd,
}
