#!/usr/bin/env bash
# Builds the stand-ins that the scripts start into review/target/. Run the build of deploy/system.toml first: the scripts
# start target/router.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off go build -o target/rig ./rig
