#!/usr/bin/env bash
# The stand-ins are Python programs that need no compiler: this checks that they and what they import can be loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common/*.py review/[0-9]/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tests/process python3 -c 'import platform_stand_in'
