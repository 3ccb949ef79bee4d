#!/bin/sh
# The stand-ins are Python and need no build; this checks that they load.
set -e
cd "$(dirname "$0")/.."
python3 -c 'import ast, pathlib, sys
for path in sorted(pathlib.Path("review").rglob("*.py")) + sorted(pathlib.Path("scripts/soak_entry").glob("*.py")):
    ast.parse(path.read_text(), str(path))
import asyncio, tomllib'
