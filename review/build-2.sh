#!/bin/sh
# Builds the stand-ins of cases 6 to 10: Python files, compiled in advance with the interpreter of deploy/build.sh.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/rig2
for folder in review/6 review/7 review/8 review/9 review/10; do
    [ ! -d "$folder" ] || .venv/bin/python -m compileall -q "$folder"
done
