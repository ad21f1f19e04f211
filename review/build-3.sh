#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They need Python 3.11 only: no
# stand-in of the project itself is started.
cd "$(dirname "$0")/.." || exit 2
exec python3 -m compileall -q review/stand_ins_3
