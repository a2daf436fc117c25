#!/usr/bin/env bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec timeout -k 2 118 build/review-3/cases-3 15 review/15/record.txt
