#!/usr/bin/env bash
# Runs the tests of the given modules with the race detector. The tests listed in KNOWN-RED.txt (the first word of each
# entry) are skipped, and the entries are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
skip=()
if [ -s KNOWN-RED.txt ]; then
  names=$(awk '!/^#/ && NF {print $1}' KNOWN-RED.txt | sort -u)
  if [ -n "$names" ]; then
    echo "known red, skipped:"
    grep -v '^#' KNOWN-RED.txt
    # go test matches each level of a subtest's name against a separate pattern.
    skip=(-skip "$(echo "$names" | sed -e 's#/#$/^#g' -e 's#.*#^&$#' | paste -sd '|')")
  fi
fi
status=0
for module in "$@"; do
  # The scenarios and the soak build and start the programs, which the test cache of go test doesn't track, so it could
  # return an outdated result.
  fresh=()
  case $module in scenarios | platform) fresh=(-count=1) ;; esac
  (cd "$module" && go test -race -timeout 300s "${fresh[@]}" "${skip[@]}" ./...) || status=1
done
# The race detector itself ends the process in this test; see KNOWN-RED.txt. Without it the test has to pass.
(cd internal && go test -count=1 -run '^TestMembersKnowEachOtherAfterSimultaneousStart$' ./detector) || status=1
exit $status
