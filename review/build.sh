#!/usr/bin/env bash
# The stand-ins are Python scripts that need only the standard library; this checks
# that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
from pathlib import Path

for path in sorted(Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
