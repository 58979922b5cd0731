#!/usr/bin/env bash
# The stand-ins of the cases are Python: there is nothing to compile. Checks that
# they can be read. The programs under test come from the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.py [0-9]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
