#!/usr/bin/env bash
# Builds what the scripts start beside the project's own programs: stand-ins in Python (3.9 or later), which need no more than
# a check that they compile. The programs themselves are built by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import pathlib, sys
assert sys.version_info >= (3, 9), sys.version
for path in pathlib.Path(".").rglob("*.py"):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
CHECK
echo "stand-ins checked"
