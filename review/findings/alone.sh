#!/usr/bin/env bash
# Plays one entry alone with seven cells; see KNOWN-RED.txt. It is no case. Exit status: 1 if
# GETs of accepted jobs were answered with 503, 0 if not, 2 if it could not run. With TROUBLE=0
# there are four cells. The record goes to the file that is named, or is not kept.
record=${1:-/dev/null}
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review-stand2 ] && [ -x ../../target/bramleyrock ] || exit 2
exec ../../target/review-stand2 alone ../../target/bramleyrock "$record"
