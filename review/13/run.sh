#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/rig-3 ] && [ -x ../../target/router ] || exit 2
exec ../../target/rig-3 late-heartbeat ../.. record.txt
