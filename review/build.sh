#!/bin/sh
# The stand-ins are Python programs that use the standard library alone, so that nothing has to be built or installed.
# This checks that the interpreter of the deploy file's build compiles them. It writes nothing.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins/*.py review/[0-9]*/*.py; do
    .venv/bin/python -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
