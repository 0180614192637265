#!/usr/bin/env bash
# Plays the case for a minute. Needs the build of deploy/system.toml and review/build.sh. TROUBLE=0 leaves out the crashes.
cd "$(dirname "$0")" && exec ../target/rig deadly .
