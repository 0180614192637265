#!/usr/bin/env bash
# Engines that leave and join while the store turns two of six routers away for a second. TROUBLE=0: it serves all of them.
# Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run. About 95 s.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}" exec ../rig-2/bin/rig2 drain ../.. .
