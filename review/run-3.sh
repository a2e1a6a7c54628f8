#!/usr/bin/env bash
# Plays one case: run-3.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
set -u
folder=$(cd "$1" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/review/standin-3 ] || [ ! -x target/release/flamingoscale-entry ]; then
    echo 'build first: the command of the deploy file, then review/build-3.sh' >&2
    exit 2
fi
PROCESSES=$(mktemp)
export PROCESSES
standin=
finish() {
    [ -n "$standin" ] && kill "$standin" 2>/dev/null
    while read -r id; do kill -9 "$id" 2>/dev/null; done <"$PROCESSES"
    rm -f "$PROCESSES"
}
trap 'finish; exit 2' INT TERM
target/review/standin-3 "$2" "$folder" &
standin=$!
wait "$standin"
result=$?
standin=
# The stand-in has ended the processes itself, unless it could not.
case $result in
    0 | 1) rm -f "$PROCESSES" ;;
    *) finish; result=2 ;;
esac
exit "$result"
