#!/usr/bin/env bash
# Replaces the settings table in docs/operators.md by the table generated from the code.
set -euo pipefail
cd "$(dirname "$0")/.."
page=$(<docs/operators.md)
table=$(go run ./routerctl settings reference --markdown)
start='<!-- settings -->'
end='<!-- end of settings -->'
printf '%s\n' "${page%%"$start"*}$start" "$table" "$end${page#*"$end"}" >docs/operators.md
