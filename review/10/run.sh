#!/usr/bin/env bash
# Runs the case of this folder; see claim.txt.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../stand_in_2/run_case.sh" pending_case "$here"
