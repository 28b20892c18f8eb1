#!/usr/bin/env bash
# Builds the stand-ins of all cases. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 11), sys.version'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

for path in sorted(pathlib.Path().glob("**/*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PYTHON
