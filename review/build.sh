#!/bin/sh
# Compiles the stand-ins that the scripts below this folder start. They need nothing but the
# interpreter that the deploy file's build has made.
set -e
cd "$(dirname "$0")/.."
[ -x .venv/bin/python ] || sh deploy/build.sh
.venv/bin/python -m compileall -q review
