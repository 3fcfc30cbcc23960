#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
cd "$folder/../.." || exit 2
export PYTHONPATH="target/deps:src:."
python3 -c "import review.support.fleet" || exit 2
timeout -k 5 119 python3 "$folder/case.py"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
