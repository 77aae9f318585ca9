#!/bin/sh
# Builds the stand-ins of cases 6 to 10, those of the earlier cases, to byte code.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins
