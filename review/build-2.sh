#!/bin/sh
# Builds what the cases 6 to 10 start beside the program. Their stand-ins are Python of the standard library alone: this
# checks that the interpreter of the deploy file's build compiles them. It installs nothing and writes nothing.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.py review/standins-2/*/*.py review/[6-9]/case.py review/10/case.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
