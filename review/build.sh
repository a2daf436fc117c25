#!/usr/bin/env bash
# Builds the stand-ins of the cases, each as CASE/case, from CASE/case.cc and the headers beside this script.
set -euo pipefail
cd "$(dirname "$0")"
for source in */case.cc; do
  folder=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -I. -o "$folder/case" "$source" -pthread
  echo "built review/$folder/case"
done
