#!/bin/sh
# Builds the stand-ins of the third review's scripts: they are Python programs of the standard library alone, so that
# only their syntax is checked. The daemon itself comes from the build command of deploy/system.toml.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast
import pathlib
for path in [pathlib.Path("stand_in_3.py"), *sorted(pathlib.Path(".").glob("1[1-5]/case.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
