#!/usr/bin/env bash
# Runs the tests of the given modules with the race detector. Tests named in KNOWN-RED.txt (first word of an
# entry) are skipped and printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(awk '!/^#/ && NF {print $1}' KNOWN-RED.txt | sort -u)
  if [ -n "$names" ]; then
    echo "known red, skipped:"
    grep -v '^#' KNOWN-RED.txt
    # go test matches each level of a subtest's name by its own pattern.
    skip=(-skip "$(echo "$names" | sed -e 's#/#$/^#g' -e 's#.*#^&$#' | paste -sd '|')")
  fi
fi
status=0
for module in "$@"; do
  # go test doesn't know that the scenarios build and start the programs, so it would repeat an old result.
  fresh=()
  [ "$module" != scenarios ] || fresh=(-count=1)
  (cd "$module" && go test -race -timeout 300s "${fresh[@]}" "${skip[@]}" ./...) || status=1
done
exit $status
