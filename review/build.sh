#!/usr/bin/env bash
# Builds what the cases start: byte-compiles the scripts and the project's stand-ins, and checks
# that they load with the packages of the deploy file alone.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:src:."
python3 -m compileall -q review
python3 -c "import review.support.fleet, review.support.engine, jayvalve.standins.platform_store"
