#!/bin/sh
# Builds the stand-ins that the scripts start. All are plain Python, the
# project's own one too, so this only checks that they compile.
set -e
cd "$(dirname "$0")"
find . ../figford/tests/platform ../figford/tools -name '*.py' | while read -r file
do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
