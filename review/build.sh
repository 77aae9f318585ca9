#!/bin/sh
# Builds the stand-ins of all cases: compiles their modules to byte code.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
