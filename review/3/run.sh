#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exit status: see case.py.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=review exec .venv/bin/python "$here/case.py"
