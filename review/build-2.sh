#!/bin/sh
# The stand-ins of review/6 to review/10 are Python modules that use the standard library only. This checks that they compile.
set -eu
cd "$(dirname "$0")"
for file in lib2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
    [ ! -e "$file" ] || python3 -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$file"
done
