#!/bin/sh
# Builds what the cases start besides the placer. The stand-ins are Python 3 programs of the
# standard library: they are only compiled here, to find out early whether they can run.
# The placer itself is built by `build` of deploy/balancer.toml.
set -e
cd "$(dirname "$0")"
python3 - <<'PY'
import glob
for path in sorted(glob.glob("lib/*.py") + glob.glob("*/case.py")):
    with open(path, encoding="utf-8") as source:
        compile(source.read(), path, "exec")
    print("compiles:", path)
PY
