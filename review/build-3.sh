#!/usr/bin/env bash
# Builds what the scripts of the third review start, besides the router, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o ../target/rig-3 ./rig-3
