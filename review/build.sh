#!/usr/bin/env bash
# Builds the stand-ins of the cases that have a script. Needs the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
for source in */main.cpp; do
    case=${source%/main.cpp}
    g++ -std=c++20 -O1 -o "$case/case" "$source" -lPocoNet -lPocoFoundation -pthread
done
