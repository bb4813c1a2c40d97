#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without the disruption. Exit codes: 0 the rule held, 1 it was broken, 2 it couldn't
# run.
set -uo pipefail
cd "$(dirname "$0")/../.." || exit 2
source review/standin-3/play.bash
play 15
