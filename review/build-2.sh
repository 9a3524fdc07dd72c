#!/usr/bin/env bash
# The stand-ins of cases 6 and later are Python programs that need no compiler: this checks that they and what they import can be
# loaded.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/common-2/*.py review/[6-9]/*.py review/10/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=tests/process python3 -c 'import platform_stand_in'
