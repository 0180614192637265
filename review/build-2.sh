#!/usr/bin/env bash
# Builds the stand-ins of the scripted cases 6 to 10. It needs nothing but Go and its standard library.
set -eu
cd "$(dirname "$0")/rig-2"
GOWORK=off GOTOOLCHAIN=local go build -buildvcs=false -o bin/rig2 .
