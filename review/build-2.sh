#!/bin/sh
# Builds the stand-ins of the second review: standard library only, so this
# checks that they compile.  The daemons are built by the deploy file.
set -eu
here=$(cd "$(dirname "$0")" && pwd)
PYTHONDONTWRITEBYTECODE=1 python3 - "$here" <<'EOF'
import pathlib, sys
for path in sorted(pathlib.Path(sys.argv[1]).glob('standins-2/*.py')):
    compile(path.read_text(), str(path), 'exec')
for number in range(6, 11):
    for path in pathlib.Path(sys.argv[1]).glob(f'{number}/*.py'):
        compile(path.read_text(), str(path), 'exec')
EOF
