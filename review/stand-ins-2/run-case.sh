#!/usr/bin/env bash
# run-case.sh CASE FOLDER: runs a case; its record goes into FOLDER. Exit codes: see main.rs.
set -u
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program="$root/target/review-2/stand-ins"
[ -x "$program" ] || { echo "not built: run review/build-2.sh" >&2; exit 2; }
temp=$(mktemp -d)
driver=
clean_up() {
  [ -z "$driver" ] || kill -9 "$driver" 2>/dev/null
  if [ -f "$temp/pids" ]; then
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$temp/pids"
  fi
  if [ -n "${KEEP_LOGS:-}" ]; then echo "logs: $temp" >&2; else rm -rf "$temp"; fi
}
trap clean_up EXIT
trap 'exit 2' INT TERM
"$program" "$1" "$root" "$temp" "$2/record.txt" &
driver=$!
wait "$driver"
code=$?
driver=
exit "$code"
