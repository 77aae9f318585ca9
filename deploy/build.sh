#!/bin/sh
# Installs the locked packages and copies the programs with their byte code to target/.
set -eu
if [ ! -f target/deps/.installed ] || [ requirements.lock -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement requirements.lock
    touch target/deps/.installed
fi
rm -rf target/app
mkdir -p target/app
cp -r src/wasabigw platform/wasabigw_platform platform/main.py target/app/
find target/app -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app
