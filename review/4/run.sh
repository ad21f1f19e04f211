#!/bin/sh
# Exit code: 1 if the rule was broken, 0 if it held, 2 if it could not run.
# With TROUBLE=0 the case does the same without the disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")/../.." || exit 2
exec python3 review/4/case.py
