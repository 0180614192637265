#!/usr/bin/env bash
# Runs the tests of the given modules with the race detector. The tests listed in KNOWN-RED.txt (the first word of each
# entry) are skipped, and the entries are printed.
set -euo pipefail
cd "$(dirname "$0")/.."
names=
if [ -s KNOWN-RED.txt ]; then
  names=$(awk '!/^#/ && NF {print $1}' KNOWN-RED.txt | sort -u)
  if [ -n "$names" ]; then
    echo "known red, skipped:"
    grep -v '^#' KNOWN-RED.txt
  fi
fi
# On arm64 the race detector itself ends the process in this test ("tsan_rtl.cpp:346"), which has to pass without it there.
unraced=
case $(uname -m) in
  aarch64 | arm64)
    unraced=TestAllowancesOfRoutersCutOff
    names=$(printf '%s\n%s' "$names" "$unraced" | sed '/^$/d')
    ;;
esac
skip=()
if [ -n "$names" ]; then
  # go test matches each level of a subtest's name against a separate pattern.
  skip=(-skip "$(echo "$names" | sed -e 's#/#$/^#g' -e 's#.*#^&$#' | paste -sd '|')")
fi
status=0
for module in "$@"; do
  # The scenarios and the soak build and start the programs, which the test cache of go test doesn't track, so it could
  # return an outdated result.
  fresh=()
  case $module in scenarios | platform) fresh=(-count=1) ;; esac
  # The soak's tests run one after the other, and those of untrusted clients and rollouts take about 150 s of them.
  limit=300s
  case $module in platform) limit=600s ;; esac
  (cd "$module" && go test -race -timeout "$limit" "${fresh[@]}" "${skip[@]}" ./...) || status=1
done
# The race detector itself ends the process in this test; see KNOWN-RED.txt. Without it the test has to pass.
(cd internal && go test -count=1 -run '^TestMembersKnowEachOtherAfterSimultaneousStart$' ./detector) || status=1
if [ -n "$unraced" ]; then
  (cd internal && go test -count=1 -timeout 300s -run "^$unraced\$" ./runner) || status=1
fi
exit $status
