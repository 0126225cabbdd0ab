#!/usr/bin/env bash
# Runs a case of the second review: run_case.sh CASE FOLDER. TROUBLE=0 runs it without its disruption.
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
set -u
root=$(cd "$(dirname "$0")/../.." && pwd)
program=$root/target/rattanmount
case=$root/target/review-2/$1
if [ ! -x "$program" ] || [ ! -x "$case" ]; then
    echo "run the build of the deploy file and review/build-2.sh first"
    exit 2
fi
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$case" "$program" "$folder" "$2/record.txt"
code=$?
if [ "$code" -gt 1 ]; then
    exit 2
fi
exit "$code"
