# play CASE: plays a case with free ports and a temporary folder, and exits with its verdict. To be sourced in the
# repository's root.

# firstPort: prints the first of ten ports that nothing listens on, below those that the kernel gives out.
firstPort() {
    local first port isFree
    for ((first = 10000 + $$ % 1500 * 10; first < 32000; first += 10)); do
        isFree=yes
        for ((port = first; port < first + 10; port++)); do
            if grep -qi "$(printf ':%04X [0-9A-F]*:0000 0A' "$port")" /proc/net/tcp; then isFree=; fi
        done
        if [ -n "$isFree" ]; then
            echo "$first"
            return
        fi
    done
}

play() {
    local folder player verdict
    for program in target/review-3/Scene target/hemlockvane; do
        if [ ! -x "$program" ]; then
            echo "$program is missing: build the deploy file, then run review/build-3.sh" >&2
            exit 2
        fi
    done
    folder=$(mktemp -d) || exit 2
    target/review-3/Scene "$1" target/hemlockvane "$folder" "review/$1/record.txt" "$(firstPort)" "${TROUBLE:-1}" &
    player=$!
    # shellcheck disable=SC2064
    trap "kill $player 2>/dev/null; rm -rf '$folder'" EXIT INT TERM
    for ((second = 0; second < 118; second++)); do
        kill -0 "$player" 2>/dev/null || break
        sleep 1
    done
    if kill "$player" 2>/dev/null; then verdict=2; fi
    wait "$player"
    verdict=${verdict:-$?}
    if [ -n "${KEEP_LOGS:-}" ]; then cp "$folder"/*.log "$KEEP_LOGS"; fi
    grep -E 'BROKEN|check:' "review/$1/record.txt" | tail -n 20
    exit "$verdict"
}
