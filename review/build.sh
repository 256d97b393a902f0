#!/usr/bin/env bash
# The stand-ins are Python programs without further packages; there is nothing to compile. This checks that the machine
# can run them.
set -eu
here="$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd)"
for file in "$here"/standin/*.py "$here"/[0-9]*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -B -c 'import sys; assert sys.version_info >= (3, 11), "Python 3.11 is needed"'
echo "stand-ins: ready"
