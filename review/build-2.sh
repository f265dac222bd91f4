#!/usr/bin/env bash
# Builds the stand-ins of review/6 and later into target/review-2. Needs g++ and
# nlohmann-json3-dev, which the deploy file names.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -Wall -Wextra -pthread -o target/review-2/world review/standin-2/*.cpp
