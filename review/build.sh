#!/bin/sh
# Builds the stand-ins of the cases; run it after the build of the deploy file.
# They are plain Python of the standard library, so this only compiles them.
set -eu
cd "$(dirname "$0")"
python3 -m py_compile standins/harness.py */case.py
