#!/usr/bin/env bash
# The server that scores texts is slow for eight seconds. Accepted samples are given up without a failure.
exec "$(dirname "$0")/../run-3.sh" "$(dirname "$0")" scores
