#!/bin/sh
# Builds what the scripts of the second review start. The stand-ins are Python files that need only
# the standard library; this checks that they compile. The gateways run from target/deps, where the
# build of the deploy file puts their packages.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "target/deps is missing: run the build of the deploy file" >&2; exit 1; }
exec python3 - review/support2/*.py review/[6-9]/case.py review/10/case.py <<'P'
import pathlib, sys

for name in sys.argv[1:]:
    compile(pathlib.Path(name).read_text(encoding="utf-8"), name, "exec")
P
