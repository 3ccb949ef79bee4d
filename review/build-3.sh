#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 14 start. They are in Python, so that only their syntax is
# checked: those of review/lab, and the project's own in scripts/soak_entry.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib

folders = ["scripts/soak_entry", "review/lab", "review/11", "review/12", "review/13", "review/14"]
for path in sorted(p for f in folders for p in pathlib.Path(f).glob("*.py")):
    compile(path.read_text(), str(path), "exec")
PYTHON
