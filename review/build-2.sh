#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the daemon. Their stand-ins need python3 only, so this
# checks that they compile. The daemon is built by the command `build` of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/stand_in_2.py review/cell_2.py review/[6-9]/*.py review/10/*.py; do
  [ ! -e "$source" ] || python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$source"
done
