#!/bin/sh
# Installs the locked packages and copies the programs with their byte code to target/.
set -eu
if [ ! -f target/deps/.installed ] || [ requirements.lock -nt target/deps/.installed ]; then
    rm -rf target/deps
    python3 -m pip install --quiet --target target/deps --requirement requirements.lock
    touch target/deps/.installed
fi
# Made aside and then renamed: a process that starts meanwhile finds all modules.
rm -rf target/app.new target/app.old
mkdir -p target/app.new
cp -r src/wasabigw platform/wasabigw_platform platform/main.py target/app.new/
find target/app.new -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q target/app.new
if [ -d target/app ]; then mv target/app target/app.old; fi
mv target/app.new target/app
rm -rf target/app.old
