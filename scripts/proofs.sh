#!/usr/bin/env bash
# Runs the fault matrix and the scripted scenarios in the given directories. A cell is one entry of the matrix or one
# scenario. Prints one line for each invariant of the design page: in how many cells it held and how many cells had a
# case for it, or that no cell had one.
set -uo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
for package in "$@"; do
  if [ ! -d "$package" ]; then
    echo "proofs: there is no directory $package"
    continue
  fi
  (cd "$package" && go test -count=1 -timeout 600s -v .) >>"$log" 2>&1 || status=1
done
grep -E '^(---|\s+---) FAIL|panic:|CELL P[1-8] violated' "$log"
for invariant in P1 P2 P3 P4 P5 P6 P7 P8; do
  passed=$(grep -cE "CELL $invariant held" "$log")
  failed=$(grep -cE "CELL $invariant violated" "$log")
  if [ "$failed" -gt 0 ]; then
    echo "PROOF $invariant violated $passed/$((passed + failed))"
  elif [ "$passed" -gt 0 ]; then
    echo "PROOF $invariant held $passed/$passed"
  else
    echo "PROOF $invariant not proved: no cell has a case for it"
  fi
done
[ "$status" -eq 0 ] || echo "proofs: some tests failed"
exit $status
