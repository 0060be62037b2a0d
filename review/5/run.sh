#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/review-stand ] && [ -x target/bramleyrock ] || exit 2
exec timeout --kill-after=2 --signal=TERM 115 target/review-stand -case 5 -record "$here/record.txt"
