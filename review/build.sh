#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, besides the build of the deploy
# file: one for each case that has a case.cpp, with its stand-ins.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for it in [0-9]*/case.cpp; do
  [ -e "$it" ] || continue
  ${CXX:-g++} -std=c++20 -O1 -g -Wall -Wextra -o "build/case-$(dirname "$it")" "$it" -pthread
done
