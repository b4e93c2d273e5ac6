#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, which use the standard library only. The build of
# deploy/system.toml has to come first.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - <<'CODE'
import pathlib

for path in sorted(pathlib.Path("review").rglob("*.py")):
    compile(path.read_text(), str(path), "exec")
CODE
