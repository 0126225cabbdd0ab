#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review into target/review-2. Run it after the build of the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/stand_in_2/*_case.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra "$source" -o "target/review-2/$(basename "$source" .cpp)" -pthread
done
