#!/bin/sh
# The stand-ins need no build: they are Python files that use only the standard library.
# This checks that they compile, without writing files.
cd "$(dirname "$0")" || exit 2
for file in harness.py */case.py; do
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
