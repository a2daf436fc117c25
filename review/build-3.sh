#!/usr/bin/env bash
# Builds the program of the scripts 11, 12, 14 and 15; needs what deploy/system.toml lists.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-3
g++ -std=c++20 -O1 -pthread -o build/review-3/cases-3 review/cases-3.cc
