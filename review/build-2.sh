#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start: they are Python
# modules without dependencies, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review/stand_ins_2 src/monsoonpass/standin
