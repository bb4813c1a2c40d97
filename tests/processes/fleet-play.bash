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

# playOnce SEED SECONDS TROUBLES OPTIONS...: plays once and sets EXIT_CODE.
playOnce() {
    local seed=$1 seconds=$2 troubles=$3
    step "seed $seed, $seconds s, $troubles ${*:4}"
    mkdir "$LOGS/$troubles"
    start "$troubles" "$BIN/tests/FleetRun" --program "$BIN/hemlockvane" --folder "$LOGS/$troubles" \
        --port "$(firstPort)" --seed "$seed" --seconds "$seconds" --troubles "$troubles" "${@:4}"
    exitCode "$troubles"
    cat "$LOGS/$troubles.log"
    expect "tasks ran" ' [1-9][0-9]{2,} runs' "$(cat "$LOGS/$troubles.log")"
}

# play WHAT SEED SECONDS TROUBLES OPTIONS...: plays once; WHAT is said of the failure that it guards against.
play() {
    playOnce "${@:2}"
    expect "$1" '^0 seed' "$EXIT_CODE $(grep '^seed ' "$LOGS/$4.log")"
}

# playLargeJobs SEED SECONDS: plays clients that hand in the largest jobs, and killed owners, with 80 MB a process.
playLargeJobs() { playOnce "$1" "$2" large-jobs,owner-kill --site maraval --load 0.3 --memory 80; }

# forgetLogs: removes the folder of the logs if all checks held.
forgetLogs() { if [ "$DIFFERENCES" = 0 ]; then rm -r "$LOGS"; fi; }
