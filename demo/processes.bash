# Starts and stops real processes on loopback and checks their answers. To be sourced; set BIN to the folder of the
# built programs first. When the script ends, every process that it started is killed by its id. LOGS is the folder of
# their output.

LOGS=$(mktemp -d "${TMPDIR:-/tmp}/hemlockvane.XXXXXX")
DIFFERENCES=0
CHECKS=0
declare -A PID_OF ADDRESS_OF

finish() {
    local code=$?
    local name pid
    for name in "${!PID_OF[@]}"; do
        pid=${PID_OF[$name]}
        kill -CONT "$pid" 2>/dev/null && kill -KILL "$pid" 2>/dev/null
        wait "$pid" 2>/dev/null
    done
    if [ "$code" = 0 ] && [ "$DIFFERENCES" != 0 ]; then code=1; fi
    echo "$CHECKS checks, $DIFFERENCES differences, logs in $LOGS"
    exit "$code"
}
trap finish EXIT

# start NAME COMMAND...: runs a program in the background, output to LOGS/NAME.log.
start() {
    local name=$1
    shift
    "$@" >>"$LOGS/$name.log" 2>&1 &
    PID_OF[$name]=$!
}

# startStandin NAME PROGRAM ARGUMENTS...: starts a stand-in and waits for its address.
startStandin() {
    local name=$1
    shift
    start "$name" "$BIN/$1" "${@:2}"
    if ! waitFor 10 grep -q '^listening on ' "$LOGS/$name.log"; then
        echo "$name did not start: $(cat "$LOGS/$name.log")" >&2
        exit 1
    fi
    ADDRESS_OF[$name]=$(sed -n 's/^listening on //p' "$LOGS/$name.log" | tail -1)
}

# signal NAME SIGNAL: sends a signal to the process.
signal() { kill "-$2" "${PID_OF[$1]}"; }

# hasEnded NAME: succeeds when the process has ended.
hasEnded() { ! kill -0 "${PID_OF[$1]}" 2>/dev/null; }

# exitCode NAME: waits for the process to end, sets EXIT_CODE and removes the process from PID_OF.
exitCode() {
    local code=0
    wait "${PID_OF[$1]}" 2>/dev/null || code=$?
    unset "PID_OF[$1]"
    EXIT_CODE=$code
}

# waitFor SECONDS COMMAND...: repeats the command until it succeeds; fails if it has not within the time.
waitFor() {
    local until=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if [ "$SECONDS" -ge "$until" ]; then return 1; fi
        sleep 0.05
    done
}

# call METHOD ADDRESS PATH [BODY] [CURL OPTIONS...]: prints the body, then the status on a line of its own.
call() {
    local method=$1 address=$2 path=$3 body=${4:-}
    shift $(($# > 4 ? 4 : $#))
    curl -s --max-time 20 -X "$method" ${body:+--data-binary "$body"} "$@" -w '\n%{http_code}' "http://$address$path" || true
}

# expect WHAT PATTERN SEEN: checks that the extended regular expression PATTERN matches the text SEEN, line breaks
# taken as spaces. A mismatch is counted and does not end the script.
expect() {
    CHECKS=$((CHECKS + 1))
    if printf '%s' "$3" | tr '\n' ' ' | grep -E -- "$2" >/dev/null; then
        echo "  ok: $1"
    else
        DIFFERENCES=$((DIFFERENCES + 1))
        echo "  DIFFERENCE: $1"
        echo "    expected: $2"
        echo "    seen:     $(printf '%s' "$3" | tr '\n' ' ')"
    fi
}

# field NAME: reads JSON from standard input, prints the first string, number or boolean under that name.
field() { grep -oE "\"$1\": ?(\"[^\"]*\"|[0-9]+|true|false)" | head -1 | sed -E 's/^"[^"]*": ?//; s/^"(.*)"$/\1/'; }

# step TITLE: prints the title of a group of checks.
step() { echo "== $1"; }
