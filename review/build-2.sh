#!/bin/sh
# Builds what the cases 6 to 10 start beside the program: the stand-ins are Python of the standard library and are
# only compiled. The cases on changes of configuration need the project's own optional packages, which the deploy
# file's build leaves out; they are installed where they are missing (pinned in requirements-settings.txt). Without
# them those cases end with 2.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins-2
for folder in review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder"
done
.venv/bin/python -c "import xxhash" 2>/dev/null ||
    .venv/bin/pip -q install --disable-pip-version-check -r requirements-settings.txt ||
    echo "the settings packages are missing: the cases on changes of configuration cannot run" >&2
