#!/usr/bin/env bash
# Plays the case in the given folder; record.txt there tells what was sent, answered and run. TROUBLE=0: without the
# disruption. KEEP=1 keeps the logs of the processes.
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -uo pipefail
folder=$(cd "$1" && pwd)
cd "$folder/../.." || exit 2
program=target/review/case-$(basename "$folder")
if [ ! -x "$program" ] || [ ! -x target/hemlockvane ]; then
    echo "not built" >&2
    exit 2
fi
REVIEW_TMP=$(mktemp -d) || exit 2
export REVIEW_TMP
# The program ends the processes that it has started, and they end with it.
timeout --kill-after=1 115 "$program" "$folder" &
started=$!
trap 'kill "$started" 2>/dev/null' TERM INT
wait "$started"
status=$?
if [ -n "${KEEP:-}" ]; then
    echo "logs: $REVIEW_TMP"
else
    rm -rf "$REVIEW_TMP"
fi
[ "$status" -le 2 ] || status=2
exit "$status"
