#!/usr/bin/env bash
# Runs the program of a case: run-case.sh FOLDER. Ends all processes that it started.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
number=$(basename "$folder")
program=$root/target/review-2/case-$number
export TROUBLE=${TROUBLE:-1}
export CASE_PROGRAM=$root/target/release/jacinthslip
if [ ! -x "$program" ] || [ ! -x "$CASE_PROGRAM" ]; then
    echo "not built: run the build of the deploy file and review/build-2.sh" >&2
    exit 2
fi
CASE_DIR=$(mktemp -d) || exit 2
export CASE_DIR
export CASE_RECORD=$folder/record.txt
export CASE_PIDS=$CASE_DIR/pids
touch "$CASE_PIDS"
end_processes() {
    while read -r pid; do
        # Only a process that still runs the program of the case: ids are used again.
        if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$(readlink -f "$CASE_PROGRAM")" ]; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done <"$CASE_PIDS"
    rm -rf "$CASE_DIR"
}
trap end_processes EXIT
ulimit -n "$(ulimit -Hn)" 2>/dev/null
timeout 115 "$program"
code=$?
case $code in
0 | 1) exit "$code" ;;
*) exit 2 ;;
esac
