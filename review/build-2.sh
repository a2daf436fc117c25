#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10. They hold all stand-ins that the
# scripts start. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for folder in review/6 review/7 review/8 review/9 review/10; do
  if [ -f "$folder/case.cc" ]; then
    g++ -std=c++20 -O2 -Wall -Wextra -pthread "$folder/case.cc" -o "build/review-2/case-$(basename "$folder")"
  fi
done
