#!/usr/bin/env bash
# Starts the platform stand-in and three routers as separate processes on loopback, applies the demo catalogue,
# shows one answer of each kind of work and sends a mixed load for 15 s. Exits with 0 only if every process exits with
# 0, every accepted request got its whole answer, no request ran twice, and the goodput reached its minimum.
#
# Needs only bash and the programs built by make. Uses the ports from DEMO_BASE_PORT (default 19700) to +59.
set -euo pipefail
cd "$(dirname "$0")/.."

base_port=${DEMO_BASE_PORT:-19700}
routers=(1 2 3)
start_timeout=20 # seconds until a process is ready
stop_timeout=40  # seconds until a process has ended after SIGTERM
min_goodput=0.9  # minimum share of answers within their time limits

work_dir=$(mktemp -d)
declare -A pids=()
status=0

port() { echo $((base_port + 10#$1)); }

fail() {
  echo "demo: $*" >&2
  status=1
}

# render FILE [NUMBER]: prints a file of demo/ with its placeholders replaced.
render() {
  local text
  text=$(<"demo/$1")
  text=${text//NUMBER/${2:-}}
  for n in {00..59}; do text=${text//PORT_$n/$(port "$n")}; done
  printf '%s\n' "$text"
}

# http_status PORT PATH: prints the status code of a GET request, or nothing if there was no response within 2 s.
http_status() (
  exec 3<>"/dev/tcp/127.0.0.1/$1" || exit 1
  printf 'GET %s HTTP/1.0\r\nHost: 127.0.0.1\r\n\r\n' "$2" >&3
  read -r -t 2 _ code _ <&3 && echo "$code"
) 2>/dev/null

# wait_for NAME COMMAND...: repeats the command until it succeeds. Fails if the process NAME exits or after
# start_timeout.
wait_for() {
  local name=$1 deadline=$((SECONDS + start_timeout))
  shift
  until "$@"; do
    if ! kill -0 "${pids[$name]}" 2>/dev/null; then
      fail "$name ended before it was ready"
      return 1
    fi
    if ((SECONDS >= deadline)); then
      fail "$name was not ready after $start_timeout s"
      return 1
    fi
    sleep 0.1
  done
}

answers_ok() { [ "$(http_status "$1" "$2")" = 200 ]; }

# apply_catalogue returns exit code 5 as long as the router has not read the log to its end; nothing was changed then.
# Other errors are final: they are reported and 0 is returned, so that wait_for does not retry.
apply_catalogue() {
  local code=0
  bin/routerctl --admin "127.0.0.1:$(port 51)" catalogue apply "$work_dir/catalogue.yaml" --base 0 --editor demo \
    2>"$work_dir/apply.log" || code=$?
  if [ "$code" -ne 0 ] && [ "$code" -ne 5 ]; then
    fail "the catalogue was not accepted (exit code $code)"
    return 0
  fi
  return "$code"
}

has_revision() {
  [[ $(bin/routerctl --admin "127.0.0.1:$1" catalogue get 2>/dev/null) == *"revision: $2"* ]]
}

start() {
  local name=$1
  shift
  "$@" >"$work_dir/$name.out" 2>"$work_dir/$name.log" &
  pids[$name]=$!
}

# stop NAME: sends SIGTERM and requires exit code 0 within stop_timeout.
stop() {
  local name=$1 pid=${pids[$1]} deadline=$((SECONDS + stop_timeout)) code=0
  kill -TERM "$pid" 2>/dev/null || true
  while kill -0 "$pid" 2>/dev/null; do
    if ((SECONDS >= deadline)); then
      fail "$name did not end within $stop_timeout s after SIGTERM"
      kill -KILL "$pid" 2>/dev/null || true
      break
    fi
    sleep 0.1
  done
  wait "$pid" || code=$?
  unset "pids[$name]"
  if [ "$code" -ne 0 ]; then fail "$name exited with $code"; else echo "$name exited with 0"; fi
}

cleanup() {
  local name
  for name in "${!pids[@]}"; do
    kill -TERM "${pids[$name]}" 2>/dev/null || true
  done
  for name in "${!pids[@]}"; do
    wait "${pids[$name]}" || true
  done
  if [ "$status" -ne 0 ]; then
    for log in "$work_dir"/*.log; do
      if [ -s "$log" ]; then
        echo "--- last lines of ${log##*/}" >&2
        tail -n 15 "$log" >&2
      fi
    done
  fi
  rm -rf "$work_dir"
}
trap 'status=1; exit 1' INT TERM
trap 'cleanup; exit "$status"' EXIT

run_demo() {
  for n in 00 01 02 03 10 11 12 20 21 22 23 24 25 31 32 33 41 42 43 51 52 53; do
    if (exec 3<>"/dev/tcp/127.0.0.1/$(port "$n")") 2>/dev/null; then
      fail "port $(port "$n") is in use; choose others with DEMO_BASE_PORT"
      return
    fi
  done
  render standin.yaml >"$work_dir/standin.yaml"
  render catalogue.yaml >"$work_dir/catalogue.yaml"
  render load.yaml >"$work_dir/load.yaml"

  echo "== starting the platform stand-in and ${#routers[@]} routers on ports $base_port to $((base_port + 59))"
  start standin bin/standin serve --settings "$work_dir/standin.yaml"
  wait_for standin answers_ok "$(port 00)" /control/stats || return 0
  for i in "${routers[@]}"; do
    render router.yaml "$i" >"$work_dir/router-$i.yaml"
    bin/routerctl settings check "$work_dir/router-$i.yaml" >"$work_dir/check.out" || { fail "bad settings of router-$i"; return; }
    start "router-$i" bin/router serve --settings "$work_dir/router-$i.yaml"
  done
  # Without a catalogue, a router is live but not ready.
  for i in "${routers[@]}"; do
    wait_for "router-$i" answers_ok "$(port "3$i")" /live || return 0
  done

  echo "== applying the catalogue at router-1"
  wait_for router-1 apply_catalogue && [ "$status" -eq 0 ] || return 0
  for i in "${routers[@]}"; do
    wait_for "router-$i" has_revision "$(port "5$i")" 1 || return 0
    wait_for "router-$i" answers_ok "$(port "3$i")" /ready || return 0
  done

  echo "== one answer of each kind"
  bin/loadgen sample --settings "$work_dir/load.yaml" || fail "loadgen sample exited with $?"

  echo "== mixed load for 15 s"
  bin/loadgen run --settings "$work_dir/load.yaml" --max-lost 0 --max-twice 0 --min-goodput "$min_goodput" ||
    fail "loadgen run exited with $?"

  echo "== planned stop of all processes"
  for i in "${routers[@]}"; do stop "router-$i"; done
  stop standin
}

run_demo
if [ "$status" -eq 0 ]; then echo "demo: passed"; else echo "demo: failed" >&2; fi
