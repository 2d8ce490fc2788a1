#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need Python's standard
# library only, so this checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q standins-3
