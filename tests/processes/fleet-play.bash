# Plays a deployment with real processes and checks the verdict. To be sourced after processes.bash.

# firstPort: prints the first of eight ports that nothing listens on, below those that the kernel gives out.
firstPort() {
    local first port isFree
    for ((first = 10000 + $$ % 1000 * 10; first < 32000; first += 10)); do
        isFree=yes
        for ((port = first; port < first + 8; port++)); do
            if grep -qi "$(printf ':%04X [0-9A-F]*:0000 0A' "$port")" /proc/net/tcp; then isFree=; fi
        done
        if [ -n "$isFree" ]; then
            echo "$first"
            return
        fi
    done
}

# play WHAT SEED SECONDS TROUBLES OPTIONS...: plays once; WHAT is said of the failure that it guards against.
play() {
    local what=$1 seed=$2 seconds=$3 troubles=$4
    step "seed $seed, $seconds s, $troubles ${*:5}"
    mkdir "$LOGS/$troubles"
    start "$troubles" "$BIN/tests/FleetRun" --program "$BIN/hemlockvane" --folder "$LOGS/$troubles" \
        --port "$(firstPort)" --seed "$seed" --seconds "$seconds" --troubles "$troubles" "${@:5}"
    exitCode "$troubles"
    cat "$LOGS/$troubles.log"
    expect "$what" '^0 seed' "$EXIT_CODE $(grep '^seed ' "$LOGS/$troubles.log")"
    expect "tasks ran" ' [1-9][0-9]{2,} runs' "$(cat "$LOGS/$troubles.log")"
}

# forgetLogs: removes the folder of the logs if all checks held.
forgetLogs() { if [ "$DIFFERENCES" = 0 ]; then rm -r "$LOGS"; fi; }
