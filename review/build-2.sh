#!/bin/sh
# Builds the stand-ins that the cases of the second review start. They are Python and need no build: this checks that the
# interpreter is there and that every file of theirs is read without an error.
set -eu
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import ast
import pathlib
import sys

assert sys.version_info >= (3, 11), "Python 3.11 or newer"
files = [*pathlib.Path("scripts/soak_entry").glob("*.py"), *pathlib.Path("review/harness").glob("*.py"),
         *(pathlib.Path(f"review/{n}/case.py") for n in range(6, 11))]
for file in files:
    if file.exists():
        ast.parse(file.read_text(encoding="utf-8"), str(file))
CHECK
