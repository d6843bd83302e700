#!/bin/sh
# Creates .venv with the packages pinned in requirements.txt; an incomplete .venv is built from scratch.
set -e
cd "$(dirname "$0")/.."
if ! .venv/bin/python -m pip -q install --no-index -r requirements.txt 2>/dev/null; then
    rm -rf .venv
    python3 -m venv .venv
    .venv/bin/python -m pip -q install -r requirements.txt
fi
# Compiles the sources in advance: if the tree is read-only later, each start would compile them again, which
# takes half of the start time.
.venv/bin/python -m compileall -q pierglade
# Installs the `pierglade` command next to the interpreter; it finds the sources relative to its own folder.
launcher=.venv/bin/pierglade
[ -x $launcher ] || {
    printf '%s\n' '#!/bin/sh' 'here=$(cd "$(dirname "$0")" && pwd)' \
        'PYTHONPATH="$here/../..${PYTHONPATH:+:$PYTHONPATH}" exec "$here/python" -m pierglade.cli "$@"' > $launcher
    chmod +x $launcher
}
