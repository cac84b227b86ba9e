#!/bin/sh
# The stand-ins of these cases are Python without further packages, so there is nothing to compile: checks that they
# can be run.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, pathlib, tomllib
for path in [pathlib.Path("stand_in.py"), *sorted(pathlib.Path().glob("[1-5]/*.py"))]:
    ast.parse(path.read_text(encoding="utf-8"), str(path))
print("stand-ins can be run")'
