#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/review/case target/release/flamingoscale-entry; do
    [ -x "$program" ] || { echo "$program is missing: run the build of deploy/system.toml and review/build.sh"; exit 2; }
done
target/review/case crashing-stream "$here"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
