#!/usr/bin/env bash
# A request that crashes engines, and two kills of all routers. TROUBLE=0 leaves out the kills.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. About 75 s.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec ../rig-2/bin/rig2 poison ../.. .
