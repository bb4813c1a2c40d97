#!/usr/bin/env bash
# Plays the case; see play.sh for TROUBLE=0 and the exit codes.
exec bash "$(dirname "$0")/../standin/play.sh" "$(dirname "$0")"
