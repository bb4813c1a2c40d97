# Plays clients that ignore the limits of an entry. To be sourced after processes.bash and fleet.bash.

# startLimitedEntry [LIMITS]: starts the platform, one executor and entry-z1, with lines for the section `limits` of its
# settings.
startLimitedEntry() {
    startPlatform
    startExecutor orders-z1 orders z1
    ENTRY_LIMITS=${1:-}
    startEntry entry-z1 z1
    TEAM_KEY=counter-secret
    ctl entry-z1 grant counter-key counter --secret "$TEAM_KEY" >/dev/null
    if ! waitFor 10 answersOrdinaryRequest; then echo "entry-z1 answers no request" >&2; exit 1; fi
}

answersOrdinaryRequest() {
    [ "$(submit entry-z1 --method GET request orders /price | tail -1)" = 'exit 0' ]
}

# peakMb, openDescriptors: print the figures of entry-z1.
peakMb() { awk '/^VmHWM/ { print int($2 / 1024) }' "/proc/${PID_OF[entry-z1]}/status"; }
openDescriptors() { ls "/proc/${PID_OF[entry-z1]}/fd" | wc -l; }

SETTLE_SECONDS=3 # For the entry to read what is in the buffers of its sockets.

# attack WHAT KIND CLIENTS BYTES MOST_MB MOST_DESCRIPTORS [TARGET]: plays the clients against the entry and checks, while
# their connections stay open, that the process lives within its bounds and answers an ordinary request.
attack() {
    local what=$1 kind=$2 clients=$3 bytes=$4 mostMb=$5 mostDescriptors=$6 target=${7:-${TRAFFIC_OF[entry-z1]}} seen
    step "$what: $clients clients, $kind, $bytes bytes each"
    start "$kind" "$BIN/tests/HostileRun" --target "$target" --kind "$kind" --clients "$clients" --bytes "$bytes"
    waitFor 120 grep -q '^sent' "$LOGS/$kind.log"
    expect "the clients have sent" '^sent' "$(tail -1 "$LOGS/$kind.log")"
    sleep "$SETTLE_SECONDS"
    expect "the process lives" '^yes$' "$(hasEnded entry-z1 || echo yes)"
    seen=$(peakMb)
    expect "its memory stays under $mostMb MB (saw $seen)" '^yes$' "$([ "${seen:-99999}" -lt "$mostMb" ] && echo yes)"
    seen=$(openDescriptors)
    expect "its descriptors stay under $mostDescriptors (saw $seen)" '^yes$' \
        "$([ "$seen" -lt "$mostDescriptors" ] && echo yes)"
    expect "an ordinary request is answered" '^yes$' "$(waitFor 60 answersOrdinaryRequest && echo yes)"
    kill -KILL "${PID_OF[$kind]}"
    wait "${PID_OF[$kind]}" 2>/dev/null
    unset "PID_OF[$kind]"
}
